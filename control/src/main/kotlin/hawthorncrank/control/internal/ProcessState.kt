package hawthorncrank.control.internal

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
 * The state of one control process: its replica, what the group agreed on as far as applied here, and who waits for
 * what. [clockAppliedAt] is when the replicated clock last moved here. [nonce] differs between starts and makes the
 * identifiers of this process's own commands unique.
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
    val nextQuestion: Long = 1,
    val questions: PersistentMap<Long, Question> = persistentMapOf(),
    val leaderSince: Long? = null,
    val leaderlessSince: Long? = null,
    val orderAttempts: PersistentMap<String, OrderAttempt> = persistentMapOf(),
    val dutiesAt: Long = 0,
    val stopping: Boolean = false,
    /** Changes are refused until the group has so many voters, so that an early one does not rest on one disk. */
    val requiredVoters: Int = 1,
    /** Entries are let go when this replica has known no leader for so long, in milliseconds. */
    val releaseAfter: Long = RELEASE_MILLISECONDS,
) {
    /** This process's estimate of the replicated clock, which never runs ahead of real time. */
    fun clock(now: Long): Long = control.clock + (now - clockAppliedAt)
}

/** What a ticket of the replica stands for. */
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

    /** A part of a large change; its command waits for none of them. */
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
 * A command until it is applied here. It is proposed again under the same identifier while its fate is open, up to
 * [deadline]. [parts] go before it. [source] is computed again when another change overtakes it. [certain] says that no proposal so far can have been committed.
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
    val certain: Boolean,
    val source: TicketUse.OperatorRead? = null,
) {
    fun copy(
        requester: Requester = this.requester,
        deadline: Long = this.deadline,
        proposeAt: Long? = this.proposeAt,
        certain: Boolean = this.certain,
    ) = PendingCommand(identifier, requester, by, operation, parts, arrivedAt, deadline, proposeAt, certain, source)
}

/**
 * A linked entry. [heldVersion] is what it holds or has been sent; [confirmedVersion] what was sent as confirmed;
 * [question] is its newest question for the newest version, 0 before the first.
 */
internal data class EntryLink(
    val entry: String,
    val availabilityZone: String,
    val openedAt: Long,
    val heldVersion: Long,
    val confirmedVersion: Long = 0,
    val question: Long = 0,
    val status: EntryToControl.EntryStatus? = null,
    val statusAt: Long = 0,
    val behindSince: Long? = null,
)

/**
 * Links that wait for the read under way, and links that wait for the next one because they came after its start.
 * [questions] holds the entries' questions that the read under way answers.
 */
internal data class Confirmation(
    val ticket: Long? = null,
    val current: PersistentSet<Long> = persistentSetOf(),
    val next: PersistentSet<Long> = persistentSetOf(),
    val questions: PersistentMap<Long, Long> = persistentMapOf(),
    val retryAt: Long = 0,
)

internal data class Question(
    val requester: Requester.Operator,
    val awaited: PersistentSet<Long>,
    val deadline: Long,
)

/** Attempts of this leader to carry an order to its engine. */
internal data class OrderAttempt(
    val fencing: FencingNumber,
    val firstAt: Long,
    val inFlight: Boolean,
    val refusals: Int = 0,
    val retryAt: Long = 0,
)
