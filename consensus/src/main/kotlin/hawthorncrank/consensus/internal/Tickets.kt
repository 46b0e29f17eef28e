/*
 * Commands and reads, and who waits for them. A follower passes both to the leader under random numbers, which never
 * repeat across restarts. A refusal is a promise that nothing was committed; where that is not certain, the answer is
 * unknown.
 */
package hawthorncrank.consensus.internal

import hawthorncrank.consensus.ReplicaEffect
import hawthorncrank.consensus.ReplicaRefusal
import hawthorncrank.consensus.TicketAnswer
import hawthorncrank.protocol.LogRecord
import hawthorncrank.protocol.RecordKind
import hawthorncrank.protocol.ReplicaEnvelope
import hawthorncrank.protocol.ReplicaMessage
import kotlinx.collections.immutable.toPersistentList

internal fun ReplicaStep.proposeCommand(
    ticket: Long,
    payload: ByteArray,
) {
    val leader = state.leader
    val problem = commandProblem(payload)
    when {
        problem != null -> refuse(ticket, problem)
        leading != null -> appendCommand(Origin.Local(ticket), payload)
        leader == null -> refuse(ticket, ReplicaRefusal.NO_LEADER)
        else -> send(leader, ReplicaMessage.ForwardedCommand(trackForwarded(ticket, read = false), payload))
    }
}

private fun ReplicaStep.commandProblem(payload: ByteArray): ReplicaRefusal? =
    when {
        state.group == null -> ReplicaRefusal.NOT_ADMITTED
        payload.size > settings.commandBytes -> ReplicaRefusal.TOO_LARGE
        state.forwarded.size >= settings.waitingCommands -> ReplicaRefusal.OVERLOADED
        leading != null && isOverloaded() -> ReplicaRefusal.OVERLOADED
        else -> null
    }

private fun ReplicaStep.isOverloaded() = state.lastIndex - state.committedIndex >= settings.waitingCommands

private fun ReplicaStep.trackForwarded(
    ticket: Long,
    read: Boolean,
): Long {
    val number = state.nextNumber
    val forwarded = state.forwarded.put(number, Forwarded(ticket, now, read))
    state = state.copy(nextNumber = number + 1, forwarded = forwarded)
    return number
}

private fun ReplicaStep.appendCommand(
    origin: Origin,
    payload: ByteArray,
) {
    val index = appendOwn(RecordKind.COMMAND, payload)
    updateLeading { it.copy(proposals = it.proposals.put(index, origin)) }
    replicateToAll()
}

internal fun ReplicaStep.replicateToAll() {
    leading?.progress?.keys?.forEach { replicate(it, heartbeat = false) }
    advanceCommit()
}

internal fun ReplicaStep.receiveForwardedCommand(
    envelope: ReplicaEnvelope,
    command: ReplicaMessage.ForwardedCommand,
) {
    val leader = leading
    if (leader == null || envelope.term != state.term) {
        // A replica that voted for itself in the term may have led it and taken this command before.
        val certain = envelope.term == state.term && state.vote.votedFor != state.self.identity
        send(envelope.sender, ReplicaMessage.ForwardedAnswer(command.ticket, null, refused = certain))
        return
    }
    val origin = Origin.Remote(envelope.sender, command.ticket)
    if (origin in leader.seen) return
    val seen = leader.seen.add(origin)
    updateLeading { it.copy(seen = if (seen.size > SEEN_COMMANDS) seen.remove(seen.first()) else seen) }
    if (isOverloaded() || command.payload.size > settings.commandBytes) {
        send(envelope.sender, ReplicaMessage.ForwardedAnswer(command.ticket, null, refused = true))
    } else {
        appendCommand(origin, command.payload)
    }
}

internal fun ReplicaStep.receiveForwardedAnswer(answer: ReplicaMessage.ForwardedAnswer) {
    val request = state.forwarded[answer.ticket]?.takeIf { !it.read } ?: return
    state = state.copy(forwarded = state.forwarded.remove(answer.ticket))
    val index = answer.index
    when {
        index != null -> awaitApplied(request.ticket, index, read = false)
        answer.refused -> refuse(request.ticket, ReplicaRefusal.NO_LEADER)
        else -> answer(request.ticket, TicketAnswer.Unknown)
    }
}

/** Answers the proposals among these committed records. */
internal fun ReplicaStep.answerCommitted(records: List<LogRecord>) {
    val proposals = leading?.proposals ?: return
    records.forEach { record ->
        val origin = proposals[record.index] ?: return@forEach
        updateLeading { it.copy(proposals = it.proposals.remove(record.index)) }
        when (origin) {
            is Origin.Local -> {
                answer(origin.ticket, TicketAnswer.Committed(record.index))
            }

            is Origin.Remote -> {
                replicate(origin.member.identity, heartbeat = true)
                send(origin.member, ReplicaMessage.ForwardedAnswer(origin.number, record.index, refused = false))
            }
        }
    }
}

internal fun ReplicaStep.requestRead(ticket: Long) {
    val leader = state.leader
    when {
        state.group == null -> refuse(ticket, ReplicaRefusal.NOT_ADMITTED)
        tooManyReads() -> refuse(ticket, ReplicaRefusal.OVERLOADED)
        leading != null -> addRead(Origin.Local(ticket))
        leader == null -> refuse(ticket, ReplicaRefusal.NO_LEADER)
        else -> send(leader, ReplicaMessage.ReadIndexRequest(trackForwarded(ticket, read = true)))
    }
}

internal fun ReplicaStep.receiveReadRequest(
    envelope: ReplicaEnvelope,
    request: ReplicaMessage.ReadIndexRequest,
) {
    if (leading == null || envelope.term != state.term || tooManyReads()) {
        send(envelope.sender, ReplicaMessage.ReadIndexAnswer(request.ticket, null))
    } else {
        addRead(Origin.Remote(envelope.sender, request.ticket))
    }
}

private fun ReplicaStep.tooManyReads(): Boolean {
    val reads = leading?.reads?.size ?: 0
    return reads + state.waiting.size + state.forwarded.size >= settings.waitingCommands
}

/** A read waits for a round that starts after it. Reads that arrive during such a round share the next one. */
private fun ReplicaStep.addRead(origin: Origin) {
    val leader = leading ?: return
    val index = maxOf(state.committedIndex, leader.firstIndex)
    val roundUnderWay = leader.reads.any { it.neededRound <= leader.round }
    val read = PendingRead(if (safeguards.confirmReads) leader.round + 1 else 0, index, origin)
    updateLeading { it.copy(reads = it.reads.add(read)) }
    if (roundUnderWay || !safeguards.confirmReads) releaseReads() else startRound()
}

internal fun ReplicaStep.releaseReads() {
    val leader = leading ?: return
    val (confirmed, pending) = leader.reads.partition { it.neededRound <= leader.confirmedRound }
    if (confirmed.isEmpty()) return
    updateLeading { it.copy(reads = pending.toPersistentList()) }
    confirmed.forEach { read ->
        when (val origin = read.origin) {
            is Origin.Local -> {
                awaitApplied(origin.ticket, read.index, read = true)
            }

            is Origin.Remote -> {
                send(origin.member, ReplicaMessage.ReadIndexAnswer(origin.number, read.index))
            }
        }
    }
    if (pending.isNotEmpty() && pending.all { it.neededRound > leader.round }) startRound()
}

internal fun ReplicaStep.receiveReadAnswer(answer: ReplicaMessage.ReadIndexAnswer) {
    val request = state.forwarded[answer.ticket]?.takeIf { it.read } ?: return
    state = state.copy(forwarded = state.forwarded.remove(answer.ticket))
    val index = answer.index
    if (index == null) refuse(request.ticket, ReplicaRefusal.NO_LEADER) else awaitApplied(request.ticket, index, true)
}

private fun ReplicaStep.awaitApplied(
    ticket: Long,
    index: Long,
    read: Boolean,
) {
    state = state.copy(waiting = state.waiting.add(Waiting(ticket, index, now, read)))
    answerWaiting()
}

internal fun ReplicaStep.answerWaiting() {
    if (state.waiting.none { it.index <= state.committedIndex }) return
    val (ready, waiting) = state.waiting.partition { it.index <= state.committedIndex }
    state = state.copy(waiting = waiting.toPersistentList())
    ready.forEach {
        if (it.read) {
            emit(ReplicaEffect.ReadConfirmed(it.ticket, it.index))
        } else {
            answer(it.ticket, TicketAnswer.Committed(it.index))
        }
    }
}

/** The leader of the term that ends answers everyone who waits for it. */
internal fun ReplicaStep.giveUpRequests(former: Leading) {
    former.proposals.values.forEach {
        when (it) {
            is Origin.Local -> answer(it.ticket, TicketAnswer.Unknown)
            is Origin.Remote -> send(it.member, ReplicaMessage.ForwardedAnswer(it.number, null, refused = false))
        }
    }
    former.reads.forEach {
        when (val origin = it.origin) {
            is Origin.Local -> refuse(origin.ticket, ReplicaRefusal.NO_LEADER)
            is Origin.Remote -> send(origin.member, ReplicaMessage.ReadIndexAnswer(origin.number, null))
        }
    }
}

internal fun ReplicaStep.expireRequests(deadline: Long) {
    expireForwarded { it.sentAt <= deadline }
    val (lateWaiting, waiting) = state.waiting.partition { it.since <= deadline }
    if (lateWaiting.isEmpty()) return
    state = state.copy(waiting = waiting.toPersistentList())
    lateWaiting.forEach { expire(it.ticket, it.read) }
}

/**
 * A read that the leader does not answer within an election timeout was lost, or its leader is. Nothing depends on its
 * outcome, so that whoever waits for it can ask again at once; a command's outcome may yet arrive.
 */
internal fun ReplicaStep.expireReads() {
    val deadline = now - settings.electionTimeoutMinimum
    expireForwarded { it.read && it.sentAt <= deadline }
}

/** What was asked of the former leader is asked again of the next one. */
internal fun ReplicaStep.giveUpForwardedReads() = expireForwarded { it.read }

private fun ReplicaStep.expireForwarded(late: (Forwarded) -> Boolean) {
    val expired = state.forwarded.filterValues(late)
    if (expired.isEmpty()) return
    var remaining = state.forwarded
    expired.keys.forEach { remaining = remaining.remove(it) }
    state = state.copy(forwarded = remaining)
    expired.values.forEach { expire(it.ticket, it.read) }
}

private fun ReplicaStep.expire(
    ticket: Long,
    read: Boolean,
) = if (read) refuse(ticket, ReplicaRefusal.NO_LEADER) else answer(ticket, TicketAnswer.Unknown)

/** Repeated commands are recognised among this many; on a link, messages repeat only around a reconnection. */
private const val SEEN_COMMANDS = 10_000
