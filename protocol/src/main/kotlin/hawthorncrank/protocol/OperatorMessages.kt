package hawthorncrank.protocol

import kotlinx.serialization.Serializable

/** A query or command of an operator. [credential] is the operator's key in clear text; the link is authenticated. */
@Serializable
data class OperatorRequest(
    val number: Long,
    val operatorName: String,
    val credential: String,
    val command: OperatorCommand,
) : WireMessage

/** The answer to the request of the same number. */
@Serializable
data class OperatorResponse(
    val number: Long,
    val answer: OperatorAnswer,
) : WireMessage

@Serializable
sealed interface OperatorCommand {
    @Serializable
    data object Identity : OperatorCommand

    @Serializable
    data class FormGroup(
        val members: List<ReplicaMember>,
    ) : OperatorCommand

    @Serializable
    data object Status : OperatorCommand

    @Serializable
    data object ShowConfiguration : OperatorCommand

    @Serializable
    data class ProposeConfiguration(
        val baseVersion: Long,
        val commandIdentifier: String,
        val reason: String,
        val configuration: Configuration,
    ) : OperatorCommand

    /**
     * Replaces the whole configuration under a version that the operator chose. The highest version wins: a version
     * that is not above the current one is accepted and changes nothing. [document] is the operator's original text,
     * kept for [ShowDocument].
     */
    @Serializable
    class ReplaceConfiguration(
        val version: Long,
        val document: ByteArray,
        val configuration: Configuration,
    ) : OperatorCommand

    /** Reads the operator's original document of the version in force. */
    @Serializable
    data object ShowDocument : OperatorCommand

    /** [offsetMinutes] is the operator's offset from UTC; times of day in [sentence] are in this time zone. */
    @Serializable
    data class PlanIntent(
        val sentence: String,
        val offsetMinutes: Int = 0,
    ) : OperatorCommand

    @Serializable
    data class ConfirmPlan(
        val planNumber: Long,
        val commandIdentifier: String,
    ) : OperatorCommand

    @Serializable
    data class History(
        val newest: Int,
    ) : OperatorCommand

    /** Reads the reports of the [newest] closed usage windows. */
    @Serializable
    data class Usage(
        val newest: Int,
    ) : OperatorCommand

    @Serializable
    data class Explain(
        val requestNumber: String,
    ) : OperatorCommand

    @Serializable
    data class Drain(
        val upstream: String,
        val draining: Boolean,
        val commandIdentifier: String,
    ) : OperatorCommand

    @Serializable
    data class LiftConviction(
        val contentDigest: String,
        val commandIdentifier: String,
    ) : OperatorCommand

    @Serializable
    data class ResolveClaim(
        val key: ClaimKey,
        val ran: Boolean,
        val commandIdentifier: String,
    ) : OperatorCommand

    @Serializable
    data class OrderEngine(
        val upstream: String,
        val order: EngineOrder,
        val commandIdentifier: String,
    ) : OperatorCommand
}

@Serializable
sealed interface EngineOrder {
    @Serializable
    data class LoadModel(
        val model: String,
    ) : EngineOrder

    @Serializable
    data class UnloadModel(
        val model: String,
    ) : EngineOrder

    @Serializable
    data class ChangeRole(
        val role: String,
    ) : EngineOrder
}

@Serializable
sealed interface OperatorAnswer {
    /** The command was committed; [version] is the new version if the command changed the configuration. */
    @Serializable
    data class Accepted(
        val version: Long,
        val lines: List<String>,
    ) : OperatorAnswer

    /** Another change to the same base version was accepted first. */
    @Serializable
    data class Conflict(
        val currentVersion: Long,
        val changedBy: String,
        val changedAtWallTime: Long,
    ) : OperatorAnswer

    /** Lines to print. */
    @Serializable
    data class Report(
        val lines: List<String>,
    ) : OperatorAnswer

    @Serializable
    data class CurrentConfiguration(
        val version: Long,
        val configuration: Configuration,
    ) : OperatorAnswer

    /** The operator's original document of the version in force; null if that version was not made from one. */
    @Serializable
    class CurrentDocument(
        val version: Long,
        val document: ByteArray?,
    ) : OperatorAnswer

    @Serializable
    data class ReplicaIdentity(
        val member: ReplicaMember,
        val formed: Boolean,
    ) : OperatorAnswer

    /** Nothing was changed. [elsewhere] means that another replica, or this one later, may accept the command. */
    @Serializable
    data class Refused(
        val problem: String,
        val remedy: String,
        val elsewhere: Boolean = false,
    ) : OperatorAnswer

    /** The command may or may not have been committed; resending it with the same identifier returns its result. */
    @Serializable
    data class Uncertain(
        val remedy: String,
    ) : OperatorAnswer
}
