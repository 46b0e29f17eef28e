package hawthorncrank.consensus.internal

import hawthorncrank.common.Transition
import hawthorncrank.consensus.Membership
import hawthorncrank.consensus.RecoveredReplica
import hawthorncrank.consensus.ReplicaEffect
import hawthorncrank.consensus.ReplicaEvent
import hawthorncrank.consensus.ReplicaRefusal
import hawthorncrank.consensus.ReplicaSettings
import hawthorncrank.consensus.ReplicaState
import hawthorncrank.consensus.TicketAnswer
import hawthorncrank.protocol.RecordKind
import hawthorncrank.protocol.ReplicaEnvelope
import hawthorncrank.protocol.ReplicaMember
import hawthorncrank.protocol.ReplicaMessage
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlin.random.Random

@Suppress("LongParameterList")
internal fun initialTransition(
    settings: ReplicaSettings,
    name: String,
    address: String,
    recovered: RecoveredReplica,
    seed: Long,
    now: Long,
): Transition<ReplicaState, ReplicaEffect> {
    val snapshot = recovered.snapshot
    // Records without a group are left over from a group formation that a crash interrupted, and are not valid.
    val records = if (recovered.vote.group == null) emptyList() else recovered.records
    val heldRecords = heldRecordsOf(records).toPersistentList()
    val log = ReplicaLog(snapshot?.lastIndex ?: 0, snapshot?.lastTerm ?: 0, heldRecords)
    val baseMembership = IndexedMembership(log.baseIndex, snapshot?.membership ?: Membership())
    val laterMemberships =
        heldRecords
            .filter { it.kind == RecordKind.MEMBERSHIP }
            .map { IndexedMembership(it.index, decodeMembership(it.record().payload)) }
    val random = Random(seed)
    val state =
        DefaultReplicaState(
            self = ReplicaMember(name, recovered.identity, address),
            vote = recovered.vote,
            log = log,
            snapshot = snapshot,
            memberships = persistentListOf(baseMembership).addAll(laterMemberships),
            committedIndex = log.baseIndex,
            syncedIndex = log.lastIndex,
            randomSeed = random.nextLong(),
            nextForwardNumber = random.nextLong(),
            // The replica may have answered a leader just before its restart; that leader's lease relies on the answer.
            leaderHeardAt = now,
            electionDeadline = now,
        )
    val step = ReplicaStep(settings, Safeguards(), now, state)
    step.resetElectionDeadline()
    step.markFirstStart()
    if (snapshot != null) step.emit(ReplicaEffect.InstallSnapshot(snapshot.lastIndex, snapshot.bytes))
    if (recovered.truncatedBytes > 0) step.logEvent(ConsensusEvent.TAIL_TRUNCATED, "bytes" to recovered.truncatedBytes)
    return step.transition()
}

internal fun reduceReplica(
    settings: ReplicaSettings,
    safeguards: Safeguards,
    state: ReplicaState,
    event: ReplicaEvent,
    now: Long,
): Transition<ReplicaState, ReplicaEffect> {
    val step = ReplicaStep(settings, safeguards, now, state as DefaultReplicaState)
    if (state.stopped) step.refuseWhenStopped(event) else step.handle(event)
    return step.transition()
}

private fun ReplicaStep.handle(event: ReplicaEvent) {
    when (event) {
        is ReplicaEvent.EnvelopeReceived -> receive(event.envelope)
        is ReplicaEvent.Tick -> tick()
        is ReplicaEvent.StorageSynced -> performDeferred(event.token)
        is ReplicaEvent.ProposeCommand -> proposeCommand(event.ticket, event.payload)
        is ReplicaEvent.RequestRead -> requestRead(event.ticket)
        is ReplicaEvent.FormGroup -> formGroup(event)
        is ReplicaEvent.AdmitMember -> admit(event.ticket, event.member, replaces = null)
        is ReplicaEvent.ReplaceMember -> admit(event.ticket, event.member, event.oldIdentity)
        is ReplicaEvent.RemoveMember -> remove(event.ticket, event.identity)
        is ReplicaEvent.SnapshotCaptured -> receiveCapturedSnapshot(event)
        is ReplicaEvent.Leave -> leave()
        is ReplicaEvent.Stop -> stop()
    }
}

private fun ReplicaStep.refuseWhenStopped(event: ReplicaEvent) {
    val ticket =
        when (event) {
            is ReplicaEvent.ProposeCommand -> event.ticket
            is ReplicaEvent.RequestRead -> event.ticket
            is ReplicaEvent.FormGroup -> event.ticket
            is ReplicaEvent.AdmitMember -> event.ticket
            is ReplicaEvent.ReplaceMember -> event.ticket
            is ReplicaEvent.RemoveMember -> event.ticket
            else -> return
        }
    refuse(ticket, ReplicaRefusal.STOPPING)
}

private fun ReplicaStep.tick() {
    expireRequests(now - settings.forwardTimeout)
    expireReads()
    expireWaiting()
    announceLeaving()
    if (leading != null) return tickAsLeader()
    requestJoinWhenDue()
    formGroupWhenDue()
    campaignWhenDue()
}

private fun ReplicaStep.stop() {
    becomeFollower(null)
    expireRequests(deadline = Long.MAX_VALUE)
    state.deferred.forEach {
        if (it.action is DeferredAction.AnswerFormation) answerUnsyncedFormation(it.action.ticket)
    }
    state = state.copy(stopped = true, deferred = persistentListOf())
}

/** The formation has not been synced, so it may or may not take effect. */
private fun ReplicaStep.answerUnsyncedFormation(ticket: Long) = answer(ticket, TicketAnswer.Unknown)

private fun ReplicaStep.performDeferred(token: Long) {
    val (ready, deferred) = state.deferred.partition { it.token <= token }
    state = state.copy(syncedToken = maxOf(state.syncedToken, token), deferred = deferred.toPersistentList())
    ready.forEach { perform(it.action) }
}

private fun ReplicaStep.perform(action: DeferredAction) {
    when (action) {
        is DeferredAction.Send -> {
            // The log may have changed in a later term, so an answer from an earlier term may no longer be correct.
            if (action.effect.envelope.term == state.term) emit(action.effect)
        }

        is DeferredAction.LogSynced -> {
            state = state.copy(syncedIndex = maxOf(state.syncedIndex, action.lastIndex))
            advanceCommit()
        }

        is DeferredAction.CountOwnVote -> {
            countOwnVote(action.term)
        }

        is DeferredAction.AnswerFormation -> {
            answer(action.ticket, TicketAnswer.Committed(1))
        }

        is DeferredAction.CompactLog -> {
            compactLog(action.snapshot)
        }
    }
}

private fun ReplicaStep.receive(envelope: ReplicaEnvelope) {
    val message = envelope.message
    if (message is ReplicaMessage.JoinRequest) return receiveJoinRequest(envelope)
    if (message is ReplicaMessage.FormationNotice) return receiveFormationNotice(envelope, message)
    if (message is ReplicaMessage.GroupNotice) return receiveGroupNotice(envelope, message)
    if (message is ReplicaMessage.GroupNoted) return receiveGroupNoted(envelope)
    if (envelope.group.isEmpty()) return
    if (envelope.recipient != state.self.identity) return receiveForFormerIdentity(envelope)
    if (state.group == null) {
        if (message !is ReplicaMessage.FromLeader && message !is ReplicaMessage.VoteRequest) return
        joinGroup(envelope.group)
        // The replica votes only after its admission is synced, so it ignores this request and can grant the next one.
        if (message is ReplicaMessage.VoteRequest) return
    }
    if (envelope.group != state.group) return
    dispatch(envelope, message)
}

private fun ReplicaStep.dispatch(
    envelope: ReplicaEnvelope,
    message: ReplicaMessage,
) {
    when (message) {
        is ReplicaMessage.VoteRequest -> receiveVoteRequest(envelope, message)
        is ReplicaMessage.Append -> receiveAppend(envelope, message)
        is ReplicaMessage.InstallSnapshot -> receiveSnapshotChunk(envelope, message)
        is ReplicaMessage.ForwardedAnswer -> receiveForwardedAnswer(message)
        is ReplicaMessage.ReadIndexAnswer -> receiveReadAnswer(message)
        is ReplicaMessage.JoinRequest, is ReplicaMessage.FormationNotice -> Unit
        is ReplicaMessage.GroupNotice, is ReplicaMessage.GroupNoted -> Unit
        else -> if (isMember(envelope.sender)) dispatchFromMember(envelope, message)
    }
}

private fun ReplicaStep.dispatchFromMember(
    envelope: ReplicaEnvelope,
    message: ReplicaMessage,
) {
    if (message is ReplicaMessage.ForwardedCommand) return receiveForwardedCommand(envelope, message)
    if (message is ReplicaMessage.ReadIndexRequest) return receiveReadRequest(envelope, message)
    if (message is ReplicaMessage.Leaving) return voterLeaves(envelope.sender)
    if (envelope.term > state.term) return adoptTerm(envelope.term)
    when (message) {
        is ReplicaMessage.VoteAnswer -> receiveVoteAnswer(envelope, message)
        is ReplicaMessage.AppendAnswer -> receiveAppendAnswer(envelope, message)
        is ReplicaMessage.SnapshotAnswer -> receiveSnapshotAnswer(envelope, message)
        else -> Unit
    }
}
