package hawthorncrank.consensus

import hawthorncrank.consensus.internal.decodeMembership
import hawthorncrank.protocol.LogRecord
import hawthorncrank.protocol.RecordKind
import hawthorncrank.protocol.ReplicaEnvelope
import hawthorncrank.protocol.ReplicaMessage

class Violation(
    message: String,
) : IllegalStateException(message)

/**
 * Checks the invariants that every history must satisfy. With [onlyOutcomes], single messages are not checked, so that
 * a disabled safety rule must be detected by its consequences.
 */
class HistoryChecker(
    private val onlyOutcomes: Boolean = false,
) {
    val committed = mutableListOf<LogRecord>()
    var membership = Membership()
        private set
    var confirmedReads = 0
        private set
    val committedTickets = mutableSetOf<Long>()
    private val leaders = mutableMapOf<Long, String>()
    val lostIdentities = mutableSetOf<String>()
    val openCommands = mutableMapOf<Long, String>()
    private val openReads = mutableMapOf<Long, Long>()
    private val refusedCommands = mutableSetOf<String>()
    private val committedCommands = mutableSetOf<String>()

    val openTickets: Set<Long> get() = openCommands.keys + openReads.keys

    fun readRequested(ticket: Long) {
        openReads[ticket] = committed.size.toLong()
    }

    fun observe(state: ReplicaState) {
        if (state.role != ReplicaRole.LEADER) return
        val known = leaders.getOrPut(state.term) { state.self.identity }
        ensure(known == state.self.identity) { "two leaders in term ${state.term}: $known, ${state.self.identity}" }
    }

    fun applied(record: LogRecord) {
        val position = record.index.toInt() - 1
        ensure(position <= committed.size) { "$record applied before record ${committed.size + 1}" }
        if (position < committed.size) {
            ensure(committed[position] == record) { "committed ${committed[position]} became $record" }
            return
        }
        committed += record
        if (record.kind == RecordKind.MEMBERSHIP) membership = decodeMembership(record.payload)
        if (record.kind == RecordKind.COMMAND) {
            val command = record.payload.decodeToString()
            ensure(committedCommands.add(command)) { "$command committed twice" }
            ensure(command !in refusedCommands) { "$command committed although refused" }
        }
    }

    fun installed(
        index: Long,
        application: List<String>,
    ) {
        val records = committed.take(index.toInt()).filter { it.kind == RecordKind.COMMAND }
        ensure(application == records.map { it.payload.decodeToString() }) { "wrong content in snapshot at $index" }
    }

    fun answered(effect: ReplicaEffect.AnswerTicket) {
        if (openReads.remove(effect.ticket) != null) return
        val command = openCommands.remove(effect.ticket) ?: throw Violation("ticket ${effect.ticket} answered twice")
        when (val answer = effect.answer) {
            is TicketAnswer.Committed -> {
                val record = committed.getOrNull(answer.index.toInt() - 1)
                ensure(record?.payload?.decodeToString() == command) { "$command answered as committed in $record" }
                committedTickets += effect.ticket
            }

            is TicketAnswer.Refused -> {
                ensure(command !in committedCommands) { "$command refused although committed" }
                refusedCommands += command
            }

            is TicketAnswer.Unknown -> Unit
        }
    }

    fun readConfirmed(
        ticket: Long,
        appliedIndex: Long,
    ) {
        val needed = openReads.remove(ticket) ?: throw Violation("read $ticket answered twice")
        ensure(appliedIndex >= needed) { "stale read: $appliedIndex applied, $needed committed before the read" }
        confirmedReads++
    }

    fun sent(
        envelope: ReplicaEnvelope,
        disk: FakeDisk,
    ) {
        val message = envelope.message
        val requiresSync =
            message is ReplicaMessage.VoteAnswer && message.granted && !message.preliminary ||
                message is ReplicaMessage.AppendAnswer && message.accepted
        if (!requiresSync || onlyOutcomes) return
        val durable = disk.durable.vote
        ensure(envelope.sender.identity !in lostIdentities) { "$envelope sent after the disk was lost" }
        ensure(durable.group != null && durable.term >= envelope.term) { "$envelope sent before its term was synced" }
        if (message is ReplicaMessage.VoteAnswer && durable.term == envelope.term) {
            ensure(durable.votedFor == envelope.recipient) { "$envelope sent before the vote was synced" }
        }
        val durableRecords = message !is ReplicaMessage.AppendAnswer || disk.isDurable(message.matchIndex)
        ensure(durableRecords) { "$envelope sent before its records were synced" }
    }

    private fun ensure(
        condition: Boolean,
        problem: () -> String,
    ) {
        if (!condition) throw Violation(problem())
    }
}
