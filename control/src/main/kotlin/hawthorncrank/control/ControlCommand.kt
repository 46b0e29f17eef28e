@file:OptIn(ExperimentalSerializationApi::class)

package hawthorncrank.control

import hawthorncrank.intents.Plan
import hawthorncrank.protocol.BegunContent
import hawthorncrank.protocol.CallOutcome
import hawthorncrank.protocol.ClaimKey
import hawthorncrank.protocol.ConfigurationDelta
import hawthorncrank.protocol.EngineClassDemand
import hawthorncrank.protocol.EngineOrder
import hawthorncrank.protocol.UnansweredRequest
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * One command of the replicated log. A command that is committed twice under one [identifier] takes effect once.
 *
 * [clock] is the proposer's estimate of the replicated clock and never runs faster than real time: it is the last value
 * that the proposer applied plus the time elapsed since then. [wallTime] is used only in records for people and for the
 * end of timed plans, so a replica with a wrong wall clock cannot make the group drop a claim.
 */
@Serializable
data class ControlCommand(
    @CborLabel(1) val identifier: String,
    @CborLabel(2) val by: String,
    @CborLabel(3) val clock: Long,
    @CborLabel(4) val wallTime: Long,
    @CborLabel(5) val operation: ControlOperation,
)

/** What a command does. Serial names are short because every log record and every message between replicas has one. */
@Serializable
sealed interface ControlOperation {
    @Serializable
    @SerialName("configure")
    data class ChangeConfiguration(
        val reason: String,
        val delta: ConfigurationDelta,
        val stagedParts: Int = 0,
    ) : ControlOperation

    /** Activates the version that the operator numbered in [delta], unless the current version is equal or higher. */
    @Serializable
    @SerialName("replace")
    data class ReplaceConfiguration(
        val delta: ConfigurationDelta,
        val document: OperatorDocument,
        val stagedParts: Int = 0,
    ) : ControlOperation

    /**
     * One part of a change that is too large for one record. It takes effect with the command whose identifier is
     * [change].
     */
    @Serializable
    @SerialName("part")
    data class StageChange(
        val change: String,
        val part: Int,
        val delta: ConfigurationDelta,
    ) : ControlOperation

    /** Requests a claim. The identifier of the command is that of the attempt. */
    @Serializable
    @SerialName("claim")
    data class Claim(
        @CborLabel(1) val key: ClaimKey,
        @CborLabel(2) val requestDigest: String,
    ) : ControlOperation

    @Serializable
    @SerialName("outcome")
    data class RecordOutcome(
        @CborLabel(1) val key: ClaimKey,
        @CborLabel(2) val claimNumber: Long,
        @CborLabel(3) val outcome: CallOutcome,
    ) : ControlOperation

    @Serializable
    @SerialName("abandon")
    data class AbandonClaim(
        @CborLabel(1) val key: ClaimKey,
        @CborLabel(2) val attemptIdentifier: String,
    ) : ControlOperation

    @Serializable
    @SerialName("resolve")
    data class ResolveClaim(
        val key: ClaimKey,
        val ran: Boolean,
    ) : ControlOperation

    @Serializable
    @SerialName("convict")
    data class Convict(
        val contentDigest: String,
        val crashes: Int,
    ) : ControlOperation

    /** Records the requests that [engine] had not begun to answer when it crashed [age] milliseconds ago. */
    @Serializable
    @SerialName("crash")
    data class RecordCrash(
        val engine: String,
        val requests: List<UnansweredRequest>,
        val age: Long,
    ) : ControlOperation

    /** Clears contents that engines began to answer from the crashes before. */
    @Serializable
    @SerialName("clear")
    data class ClearContents(
        val contents: List<BegunContent>,
    ) : ControlOperation

    /** Convicts the contents that crash engines according to the evidence, if nobody has refuted it in time. */
    @Serializable
    @SerialName("judge")
    data object JudgeSuspects : ControlOperation

    @Serializable
    @SerialName("lift")
    data class LiftConviction(
        val contentDigest: String,
    ) : ControlOperation

    @Serializable
    @SerialName("drain")
    data class Drain(
        val upstream: String,
        val draining: Boolean,
    ) : ControlOperation

    @Serializable
    @SerialName("plan")
    data class RecordPlan(
        val plan: Plan,
    ) : ControlOperation

    @Serializable
    @SerialName("confirm")
    data class ConfirmPlan(
        val planNumber: Long,
    ) : ControlOperation

    /** Reverts a timed plan whose end has passed. */
    @Serializable
    @SerialName("return")
    data class ReturnPlan(
        val planNumber: Long,
    ) : ControlOperation

    @Serializable
    @SerialName("order")
    data class OrderEngine(
        val upstream: String,
        val order: EngineOrder,
    ) : ControlOperation

    /** Gives the engine's pending order a new fencing number, and a model load its token of the weight store. */
    @Serializable
    @SerialName("issue")
    data class IssueOrder(
        val upstream: String,
    ) : ControlOperation

    /** Ends the order that has this fencing number. */
    @Serializable
    @SerialName("end-order")
    data class EndOrder(
        val upstream: String,
        val fencing: FencingNumber,
        val succeeded: Boolean,
        val detail: String,
    ) : ControlOperation

    /**
     * An entry opened its link to [replica]. [fresh] is true when the entry holds no state from before a restart.
     * [relayAddress] is where it accepts requests from other entries, or empty.
     */
    @Serializable
    @SerialName("linked")
    data class EntryLinked(
        val entry: String,
        val replica: String,
        val fresh: Boolean,
        val availabilityZone: String = "",
        val relayAddress: String = "",
    ) : ControlOperation

    /** The entry's link to [replica] has been closed for longer than a reconnection takes. */
    @Serializable
    @SerialName("lost")
    data class EntryLost(
        val entry: String,
        val replica: String,
    ) : ControlOperation

    /** Makes [holder], the leader of this command's term, the holder of the duties at the platform. */
    @Serializable
    @SerialName("take-duties")
    data class TakeDuties(
        val holder: String,
    ) : ControlOperation

    /** Keeps the highest count of each cell whose window is not closed. */
    @Serializable
    @SerialName("usage")
    data class RecordUsage(
        @CborLabel(1) val cells: List<UsageCell>,
    ) : ControlOperation

    /** Makes the counts of [window] final. Windows are closed in order. */
    @Serializable
    @SerialName("close-usage")
    data class CloseUsageWindow(
        val window: Long,
    ) : ControlOperation

    /** The platform has accepted the report of [window]. */
    @Serializable
    @SerialName("usage-delivered")
    data class UsageDelivered(
        val window: Long,
    ) : ControlOperation

    /** Keeps the demand that [entries] entries linked to [replica] reported. */
    @Serializable
    @SerialName("engine-demand")
    data class RecordDemand(
        val replica: String,
        val entries: Int,
        val classes: List<EngineClassDemand>,
    ) : ControlOperation

    @Serializable
    @SerialName("order-engines")
    data class OrderEngines(
        val group: EngineGroup,
        val count: Int,
    ) : ControlOperation

    /** The platform answered the order of [group] that has this [number]. */
    @Serializable
    @SerialName("engines-answered")
    data class EngineOrderAnswered(
        val group: EngineGroup,
        val number: Long,
        val accepted: Boolean,
    ) : ControlOperation

    /** Replaces what is known of engines that are slower than others of their service, by how many times as long they take. */
    @Serializable
    @SerialName("slow-engines")
    data class RecordSlowEngines(
        val slowdowns: Map<String, Double>,
    ) : ControlOperation

    /** Only advances the replicated clock. */
    @Serializable
    @SerialName("clock")
    data object AdvanceClock : ControlOperation
}

/** The position of a record in the replicated log, used as a fencing token; later records compare higher. */
@Serializable
data class FencingNumber(
    val term: Long,
    val index: Long,
) : Comparable<FencingNumber> {
    override fun compareTo(other: FencingNumber): Int = compareValuesBy(this, other, { it.term }, { it.index })
}
