package hawthorncrank.control

import hawthorncrank.protocol.ClaimDecision
import hawthorncrank.protocol.ClaimKey
import hawthorncrank.protocol.OperatorAnswer
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The result of an applied command, which the process returns to the sender of the command. */
@Serializable
sealed interface CommandResult {
    /**
     * The answer to an operator. Unless it is transient, it is stored in the replicated state with its texts, so builds
     * that run in one group must produce the same texts.
     */
    @Serializable
    @SerialName("operator")
    data class Operator(
        val answer: OperatorAnswer,
    ) : CommandResult

    @Serializable
    @SerialName("claim")
    data class Claimed(
        val key: ClaimKey,
        val attemptIdentifier: String,
        val decision: ClaimDecision,
    ) : CommandResult

    /** [accepted] is false when the key is no longer held under this claim number. */
    @Serializable
    @SerialName("outcome")
    data class OutcomeRecorded(
        val key: ClaimKey,
        val claimNumber: Long,
        val accepted: Boolean,
    ) : CommandResult

    /** [accepted] is false when the attempt already has an outcome, which is kept. */
    @Serializable
    @SerialName("abandoned")
    data class ClaimAbandoned(
        val key: ClaimKey,
        val attemptIdentifier: String,
        val accepted: Boolean,
    ) : CommandResult

    @Serializable
    @SerialName("done")
    data object Done : CommandResult
}

/** The state after a command, and its result. */
data class Applied(
    val state: ControlState,
    val result: CommandResult,
)
