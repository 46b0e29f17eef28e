/*
 * Handles commands and reads and answers their tickets. A follower forwards both to the leader, numbered from a random
 * start so that numbers do not repeat after a restart. A refusal guarantees that nothing was or will be committed;
 * where that is not certain, the answer is `Unknown`.
 */
package hawthorncrank.consensus.internal

import hawthorncrank.consensus.ReplicaEffect
import hawthorncrank.consensus.ReplicaRefusal
import hawthorncrank.consensus.TicketAnswer
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
        payload.size > settings.maximumCommandBytes -> ReplicaRefusal.TOO_LARGE
        state.forwardedRequests.size >= settings.maximumPendingRequests -> ReplicaRefusal.OVERLOADED
        leading != null && isOverloaded() -> ReplicaRefusal.OVERLOADED
        else -> null
    }

private fun ReplicaStep.isOverloaded() =
    state.lastIndex - state.committedIndex >= settings.maximumPendingRequests || isLogFull()

private fun ReplicaStep.trackForwarded(
    ticket: Long,
    read: Boolean,
): Long {
    val number = state.nextForwardNumber
    val forwardedRequests = state.forwardedRequests.put(number, ForwardedRequest(ticket, now, read))
    state = state.copy(nextForwardNumber = number + 1, forwardedRequests = forwardedRequests)
    return number
}

private fun ReplicaStep.appendCommand(
    origin: Origin,
    payload: ByteArray,
) {
    val index = appendAsLeader(RecordKind.COMMAND, payload)
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
        // A replica that voted for itself in this term may have been its leader and appended this command already.
        val notAppended = envelope.term == state.term && state.vote.votedFor != state.self.identity
        send(envelope.sender, ReplicaMessage.ForwardedAnswer(command.ticket, null, refused = notAppended))
        return
    }
    val origin = Origin.Remote(envelope.sender, command.ticket)
    if (origin in leader.recentCommands) return
    val known = leader.recentCommands.add(origin)
    updateLeading { it.copy(recentCommands = if (known.size > RECENT_COMMANDS) known.remove(known.first()) else known) }
    if (isOverloaded() || command.payload.size > settings.maximumCommandBytes) {
        send(envelope.sender, ReplicaMessage.ForwardedAnswer(command.ticket, null, refused = true))
    } else {
        appendCommand(origin, command.payload)
    }
}

internal fun ReplicaStep.receiveForwardedAnswer(answer: ReplicaMessage.ForwardedAnswer) {
    val request = state.forwardedRequests[answer.ticket]?.takeIf { !it.read } ?: return
    state = state.copy(forwardedRequests = state.forwardedRequests.remove(answer.ticket))
    val index = answer.index
    when {
        index != null -> awaitApplied(request.ticket, index, read = false)
        answer.refused -> refuse(request.ticket, ReplicaRefusal.NO_LEADER)
        else -> answer(request.ticket, TicketAnswer.Unknown)
    }
}

/** Answers the commands that were proposed for these committed records. */
internal fun ReplicaStep.answerCommitted(indexes: LongRange) {
    val proposals = leading?.proposals ?: return
    indexes.forEach { index ->
        val origin = proposals[index] ?: return@forEach
        updateLeading { it.copy(proposals = it.proposals.remove(index)) }
        when (origin) {
            is Origin.Local -> {
                answer(origin.ticket, TicketAnswer.Committed(index))
            }

            is Origin.Remote -> {
                replicate(origin.member.identity, heartbeat = true)
                send(origin.member, ReplicaMessage.ForwardedAnswer(origin.number, index, refused = false))
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
    return reads + state.pendingAnswers.size + state.forwardedRequests.size >= settings.maximumPendingRequests
}

/** A read waits for a round that starts after the read. Reads that arrive during such a round share the next round. */
private fun ReplicaStep.addRead(origin: Origin) {
    val leader = leading ?: return
    val index = maxOf(state.committedIndex, leader.firstIndex)
    val readRoundInProgress = leader.reads.any { it.neededRound <= leader.round }
    val read = PendingRead(if (safeguards.confirmReads) leader.round + 1 else 0, index, origin)
    updateLeading { it.copy(reads = it.reads.add(read)) }
    if (readRoundInProgress || !safeguards.confirmReads) answerConfirmedReads() else startRound()
}

internal fun ReplicaStep.answerConfirmedReads() {
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
    val request = state.forwardedRequests[answer.ticket]?.takeIf { it.read } ?: return
    state = state.copy(forwardedRequests = state.forwardedRequests.remove(answer.ticket))
    val index = answer.index
    if (index == null) refuse(request.ticket, ReplicaRefusal.NO_LEADER) else awaitApplied(request.ticket, index, true)
}

private fun ReplicaStep.awaitApplied(
    ticket: Long,
    index: Long,
    read: Boolean,
) {
    state = state.copy(pendingAnswers = state.pendingAnswers.add(PendingAnswer(ticket, index, now, read)))
    answerAppliedTickets()
}

internal fun ReplicaStep.answerAppliedTickets() {
    if (state.pendingAnswers.none { it.index <= state.committedIndex }) return
    val (ready, pendingAnswers) = state.pendingAnswers.partition { it.index <= state.committedIndex }
    state = state.copy(pendingAnswers = pendingAnswers.toPersistentList())
    ready.forEach {
        if (it.read) {
            emit(ReplicaEffect.ReadConfirmed(it.ticket, it.index))
        } else {
            answer(it.ticket, TicketAnswer.Committed(it.index))
        }
    }
}

/** Answers all pending commands and reads when this replica stops being the leader. */
internal fun ReplicaStep.failPendingRequests(former: Leading) {
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
    val (lateAnswers, pendingAnswers) = state.pendingAnswers.partition { it.waitingSince <= deadline }
    if (lateAnswers.isEmpty()) return
    state = state.copy(pendingAnswers = pendingAnswers.toPersistentList())
    lateAnswers.forEach { expire(it.ticket, it.read) }
}

/**
 * If the leader does not answer a read within the minimum election timeout, the message or the leader was lost. A read
 * changes nothing, so the client can retry it at once. Commands wait longer, because their outcome may still arrive.
 */
internal fun ReplicaStep.expireReads() {
    val deadline = now - settings.electionTimeoutMinimum
    expireForwarded { it.read && it.sentAt <= deadline }
}

/** Refuses the reads forwarded to the former leader, so that clients can retry them with the next one. */
internal fun ReplicaStep.failForwardedReads() = expireForwarded { it.read }

private fun ReplicaStep.expireForwarded(late: (ForwardedRequest) -> Boolean) {
    val expired = state.forwardedRequests.filterValues(late)
    if (expired.isEmpty()) return
    var remaining = state.forwardedRequests
    expired.keys.forEach { remaining = remaining.remove(it) }
    state = state.copy(forwardedRequests = remaining)
    expired.values.forEach { expire(it.ticket, it.read) }
}

private fun ReplicaStep.expire(
    ticket: Long,
    read: Boolean,
) = if (read) refuse(ticket, ReplicaRefusal.NO_LEADER) else answer(ticket, TicketAnswer.Unknown)

/** How many forwarded commands are kept to detect duplicates. A link repeats messages only around a reconnection. */
private const val RECENT_COMMANDS = 10_000
