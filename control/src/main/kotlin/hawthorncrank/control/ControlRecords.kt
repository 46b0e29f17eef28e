@file:OptIn(ExperimentalSerializationApi::class)

package hawthorncrank.control

import hawthorncrank.intents.Plan
import hawthorncrank.protocol.CallOutcome
import hawthorncrank.protocol.ClaimDecision
import hawthorncrank.protocol.ClaimKey
import hawthorncrank.protocol.ConfigurationDelta
import hawthorncrank.protocol.EngineOrder
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborLabel

/** Who changed what, when and why. */
@Serializable
data class HistoryEntry(
    @CborLabel(1) val version: Long,
    @CborLabel(2) val by: String,
    @CborLabel(3) val wallTime: Long,
    @CborLabel(4) val what: List<String>,
    @CborLabel(5) val why: String,
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
    @CborLabel(1) val claimNumber: Long,
    @CborLabel(2) val requestDigest: String,
    @CborLabel(3) val attemptIdentifier: String,
    @CborLabel(4) val entry: String,
    @CborLabel(5) val grantedAt: Long,
    @CborLabel(6) val outcome: CallOutcome? = null,
)

@Serializable
data class FinishedClaim(
    @CborLabel(1) val key: ClaimKey,
    @CborLabel(2) val finishedAt: Long,
)

/** The remembered decision on a claim attempt. The response body is not copied here; it is read from the claim. */
@Serializable
sealed interface AttemptAnswer {
    @Serializable
    @SerialName("granted")
    data class Granted(
        @CborLabel(1) val claimNumber: Long,
    ) : AttemptAnswer

    @Serializable
    @SerialName("refused")
    data class Refused(
        val decision: ClaimDecision,
    ) : AttemptAnswer

    @Serializable
    @SerialName("finished")
    data class Finished(
        @CborLabel(1) val claimNumber: Long,
    ) : AttemptAnswer

    /** The attempt was abandoned and is never granted a claim again. */
    @Serializable
    @SerialName("abandoned")
    data object Abandoned : AttemptAnswer
}

/**
 * The state of an entry as the group knows it. [replica] is the replica that it is linked to: empty if no link has been
 * reported, and null after its link has been closed for longer than a reconnection takes. Claims below
 * [firstClaimNumber] were granted before its last restart, so no process works on them. [link] is the identifier of the
 * command that reported the link. [relayAddress] is where it accepts requests from other entries, or empty.
 */
@Serializable
data class EntryPresence(
    @CborLabel(1) val replica: String?,
    @CborLabel(2) val firstClaimNumber: Long,
    @CborLabel(3) val link: String = "",
    @CborLabel(4) val availabilityZone: String = "",
    @CborLabel(5) val relayAddress: String = "",
)

/**
 * A request content that was reported to crash engines. A lifted conviction is kept until it expires, because entries
 * repeat their reports when they reconnect.
 */
@Serializable
data class ConvictionRecord(
    val crashes: Int,
    val expiresAt: Long,
    val reportedBy: String,
    val lifted: Boolean = false,
)

/** The configuration document exactly as the operator sent it. */
@Serializable
class OperatorDocument(
    @ByteString val bytes: ByteArray,
) {
    override fun equals(other: Any?): Boolean = other is OperatorDocument && bytes.contentEquals(other.bytes)

    override fun hashCode(): Int = bytes.contentHashCode()
}

/** [RETURNED] is a timed plan reverted at its end, [UNDONE] a plan reverted by an operator's later plan. */
@Serializable
enum class PlanStatus { PROPOSED, CONFIRMED, RETURNED, UNDONE }

/**
 * A plan and its status. [returnsAtWallTime] is the time at which a timed plan is reverted; it is set only while the
 * plan is confirmed.
 */
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

/**
 * The token bucket that limits model loads from the weight store, in thousandths of a load. Its capacity is one load,
 * so that loads never come in bursts.
 */
@Serializable
data class WeightTokens(
    val thousandths: Long = LOAD_TOKEN_THOUSANDTHS,
    val updatedAt: Long = 0,
)

const val LOAD_TOKEN_THOUSANDTHS = 1_000L
