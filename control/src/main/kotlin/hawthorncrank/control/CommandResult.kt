package hawthorncrank.control

import hawthorncrank.protocol.ClaimDecision
import hawthorncrank.protocol.ClaimKey
import hawthorncrank.protocol.OperatorAnswer
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What the process tells whoever sent the command, once it is applied. */
@Serializable
sealed interface CommandResult {
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

    /** [accepted] is false when the claim number is no longer the key's. */
    @Serializable
    @SerialName("outcome")
    data class OutcomeNoted(
        val key: ClaimKey,
        val claimNumber: Long,
        val accepted: Boolean,
    ) : CommandResult

    /** [accepted] is false when the attempt already has an outcome, which stands. */
    @Serializable
    @SerialName("abandoned")
    data class AbandonNoted(
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
