package hawthorncrank.control

import hawthorncrank.intents.Plan
import hawthorncrank.protocol.CallOutcome
import hawthorncrank.protocol.ClaimDecision
import hawthorncrank.protocol.ClaimKey
import hawthorncrank.protocol.ConfigurationDelta
import hawthorncrank.protocol.EngineOrder
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Who changed what, when and why. */
@Serializable
data class HistoryEntry(
    val version: Long,
    val by: String,
    val wallTime: Long,
    val what: List<String>,
    val why: String,
)

/** The parts of a large change that have arrived. */
@Serializable
data class StagedChange(
    val baseVersion: Long,
    val stagedAt: Long,
    val parts: Map<Int, ConfigurationDelta>,
)

/** One granted claim. Without [outcome] the call may be running. [grantedAt] is on the replicated clock. */
@Serializable
data class ClaimRecord(
    val claimNumber: Long,
    val requestDigest: String,
    val attemptIdentifier: String,
    val entry: String,
    val grantedAt: Long,
    val outcome: CallOutcome? = null,
)

@Serializable
data class FinishedClaim(
    val key: ClaimKey,
    val finishedAt: Long,
)

/** What an attempt was told, without an answer's body: that is looked up in the claim. */
@Serializable
sealed interface AttemptAnswer {
    @Serializable
    @SerialName("granted")
    data class Granted(
        val claimNumber: Long,
    ) : AttemptAnswer

    @Serializable
    @SerialName("refused")
    data class Refused(
        val decision: ClaimDecision,
    ) : AttemptAnswer

    @Serializable
    @SerialName("finished")
    data class Finished(
        val claimNumber: Long,
    ) : AttemptAnswer

    /** The attempt gave up; it is never granted anything again. */
    @Serializable
    @SerialName("abandoned")
    data object Abandoned : AttemptAnswer
}

/**
 * What the group knows of an entry. [replica] is where it is linked, or null after its link has been closed for a while.
 * Claims below [firstClaimNumber] date from before its last restart, so nobody works on them.
 */
@Serializable
data class EntryPresence(
    val replica: String?,
    val firstClaimNumber: Long,
)

@Serializable
data class ConvictionRecord(
    val crashes: Int,
    val expiresAt: Long,
    val reportedBy: String,
)

@Serializable
enum class PlanStatus { PROPOSED, CONFIRMED, RETURNED, UNDONE }

/** A plan and what became of it. [returnsAtWallTime] is set while a timed plan is in force. */
@Serializable
data class PlanRecord(
    val plan: Plan,
    val by: String,
    val status: PlanStatus = PlanStatus.PROPOSED,
    val returnsAtWallTime: Long? = null,
)

@Serializable
enum class OrderStatus { WAITING, ISSUED, DONE, FAILED }

/** The newest order to an engine. [fencing] is null until the order is issued for the first time. */
@Serializable
data class OrderRecord(
    val order: EngineOrder,
    val by: String,
    val requestedAt: Long,
    val status: OrderStatus = OrderStatus.WAITING,
    val fencing: FencingNumber? = null,
    val holdsToken: Boolean = false,
    val detail: String = "",
)

/** The token bucket of the weight store, in thousandths of a load. It holds one load, so that loads never bunch. */
@Serializable
data class WeightTokens(
    val thousandths: Long = WEIGHT_TOKEN,
    val updatedAt: Long = 0,
)

const val WEIGHT_TOKEN = 1_000L
