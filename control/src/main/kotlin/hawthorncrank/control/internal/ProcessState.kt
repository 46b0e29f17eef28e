package hawthorncrank.control.internal

import hawthorncrank.capacity.CapacityState
import hawthorncrank.consensus.ReplicaState
import hawthorncrank.control.ControlOperation
import hawthorncrank.control.ControlState
import hawthorncrank.control.FencingNumber
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.OperatorCommand
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/**
 * The state of one control process: its replica, the group's state as applied here, and the requests in progress.
 * [clockAppliedAt] is when the replicated clock last advanced here. [leaderContactAt] is when this replica last heard
 * from the leader or, as leader, from a majority. [nonce] differs between starts and makes the identifiers of this
 * process's own commands unique.
 */
internal data class ProcessState(
    val replica: ReplicaState,
    val nonce: String,
    val startedAt: Long,
    val control: ControlState = ControlState(),
    val clockAppliedAt: Long = startedAt,
    val wallOffset: Long = 0,
    val nextTicket: Long = 1,
    val tickets: PersistentMap<Long, TicketUse> = persistentMapOf(),
    val nextCommand: Long = 1,
    val pending: PersistentMap<String, PendingCommand> = persistentMapOf(),
    val entryLinks: PersistentMap<Long, EntryLink> = persistentMapOf(),
    val absentSince: PersistentMap<String, Long> = persistentMapOf(),
    val confirmation: Confirmation = Confirmation(),
    val nextExplanation: Long = 1,
    val explanations: PersistentMap<Long, PendingExplanation> = persistentMapOf(),
    val leaderSince: Long? = null,
    val leaderContactAt: Long = startedAt,
    val orderAttempts: PersistentMap<String, OrderAttempt> = persistentMapOf(),
    val nextDutiesAt: Long = 0,
    val leaving: Boolean = false,
    val stopping: Boolean = false,
    val upstreamList: UpstreamListState = UpstreamListState(),
    /** Null on deployments whose replicas do not have the duty of usage reports. */
    val usage: UsageCollection? = null,
    /**
     * Replacements of the configuration are refused until the group has this many voters, so that an early one is not
     * stored on a single disk.
     */
    val requiredVoters: Int = 1,
    /** The links of entries are closed when this replica has had no contact with a leader for this many milliseconds. */
    val entryReleaseDelay: Long = MAXIMUM_ENTRY_RELEASE_DELAY_MILLISECONDS,
    /** Null on deployments without duties at the platform. */
    val dutyRules: DutyRules? = null,
    val dutyWork: DutyWork = DutyWork(),
    val engineDemand: EngineDemandCollection = EngineDemandCollection(),
    val capacity: CapacityState = CapacityState(),
    val enginesPlannedAt: Long? = null,
    /** Null on deployments that do not read the reports of engines. */
    val engineReadings: EngineReadings? = null,
    val streams: StreamOrigins = StreamOrigins(),
) {
    /** The decision on slow engines. Without reports it is not followed, because it would never be taken back. */
    val slowEngines: Map<String, Double>
        get() = if (engineReadings == null) emptyMap() else control.slowEngines

    /** This process's estimate of the replicated clock, which never runs ahead of real time. */
    fun clock(now: Long): Long = control.clock + (now - clockAppliedAt)
}

/** What a request to the replica, identified by its ticket, is for. */
internal sealed interface TicketUse {
    data class Command(
        val identifier: String,
    ) : TicketUse

    data class Form(
        val requester: Requester.Operator,
    ) : TicketUse

    data class OperatorRead(
        val requester: Requester.Operator,
        val operator: String,
        val command: OperatorCommand,
        val deadline: Long,
    ) : TicketUse

    data object ConfirmEntries : TicketUse

    /** A part of a large change; the command of the change does not wait for its parts. */
    data object Part : TicketUse
}

internal sealed interface Requester {
    data class Entry(
        val link: Long,
    ) : Requester

    data class Operator(
        val link: Long,
        val number: Long,
    ) : Requester

    data object None : Requester
}

/**
 * A command that is not yet applied here. It is proposed again under the same identifier until its result is known or
 * [deadline] has passed. [parts] are proposed before it. [source] is the replacement to compute again if another change
 * is applied first. [uncommitted] is true while no proposal so far can have been committed.
 */
internal class PendingCommand(
    val identifier: String,
    val requester: Requester,
    val by: String,
    val operation: ControlOperation,
    val parts: List<ControlOperation.StageChange>,
    val arrivedAt: Long,
    val deadline: Long,
    val proposeAt: Long?,
    val uncommitted: Boolean,
    val source: TicketUse.OperatorRead? = null,
) {
    fun copy(
        requester: Requester = this.requester,
        deadline: Long = this.deadline,
        proposeAt: Long? = this.proposeAt,
        uncommitted: Boolean = this.uncommitted,
    ) = PendingCommand(identifier, requester, by, operation, parts, arrivedAt, deadline, proposeAt, uncommitted, source)
}

/**
 * A linked entry. [heldVersion] is the version that it holds or has been sent, [confirmedVersion] the version last sent
 * as confirmed, and [question] the number of its latest request to confirm the newest version, 0 before the first. An
 * entry of an older build does not ask for the group and cannot read it ([asksGroup]), nor the versions of software in the
 * list of upstreams ([readsSoftware]). The entry's link was last [reportedAt] to the group.
 */
internal data class EntryLink(
    val entry: String,
    val availabilityZone: String,
    val openedAt: Long,
    val heldVersion: Long,
    val confirmedVersion: Long = 0,
    val question: Long = 0,
    val asksGroup: Boolean = false,
    val status: EntryToControl.EntryStatus? = null,
    val statusAt: Long = 0,
    val behindSince: Long? = null,
    val relayAddress: String = "",
    val readsSoftware: Boolean = false,
    val reportedAt: Long = openedAt,
)

/**
 * The links in [current] wait for the read in progress; those in [next] were added after its start and wait for the
 * next read. [questions] holds, by link, the confirmation requests that the read in progress answers.
 */
internal data class Confirmation(
    val ticket: Long? = null,
    val current: PersistentSet<Long> = persistentSetOf(),
    val next: PersistentSet<Long> = persistentSetOf(),
    val questions: PersistentMap<Long, Long> = persistentMapOf(),
    val retryAt: Long = 0,
)

/** A pending request of an operator to explain a decision. [awaited] are the links that have not answered. */
internal data class PendingExplanation(
    val requester: Requester.Operator,
    val awaited: PersistentSet<Long>,
    val deadline: Long,
)

/** The attempts of this leader to deliver an order to its engine. */
internal data class OrderAttempt(
    val fencing: FencingNumber,
    val firstAt: Long,
    val inFlight: Boolean,
    val refusals: Int = 0,
    val retryAt: Long = 0,
)
