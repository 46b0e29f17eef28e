package hawthorncrank.consensus.internal

import hawthorncrank.common.Transition
import hawthorncrank.consensus.Membership
import hawthorncrank.consensus.ReplicaEffect
import hawthorncrank.consensus.ReplicaRefusal
import hawthorncrank.consensus.ReplicaSettings
import hawthorncrank.consensus.ReplicaState
import hawthorncrank.consensus.TicketAnswer
import hawthorncrank.consensus.VoteState
import hawthorncrank.protocol.LogRecord
import hawthorncrank.protocol.RecordKind
import hawthorncrank.protocol.ReplicaEnvelope
import hawthorncrank.protocol.ReplicaMember
import hawthorncrank.protocol.ReplicaMessage
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlin.random.Random

/**
 * The working data of one reduction: the current state and the effects collected so far. An instance is used for one
 * call of the reducer and never shared. The extension functions in this package implement the protocol.
 */
internal class ReplicaStep(
    val settings: ReplicaSettings,
    val safeguards: Safeguards,
    val now: Long,
    var state: DefaultReplicaState,
) {
    private val effects = persistentListOf<ReplicaEffect>().builder()

    val leading: Leading? get() = state.phase as? Leading

    fun transition(): Transition<ReplicaState, ReplicaEffect> = Transition(state, effects.build())

    fun emit(effect: ReplicaEffect) {
        effects.add(effect)
    }

    fun logEvent(
        event: ConsensusEvent,
        vararg fields: Pair<String, Any?>,
    ) = emit(ReplicaEffect.LogEvent(event, mapOf(*fields)))

    fun answer(
        ticket: Long,
        answer: TicketAnswer,
    ) = emit(ReplicaEffect.AnswerTicket(ticket, answer))

    fun refuse(
        ticket: Long,
        reason: ReplicaRefusal,
    ) = answer(ticket, TicketAnswer.Refused(reason))

    fun send(
        recipient: ReplicaMember,
        message: ReplicaMessage,
    ) = emit(envelope(recipient, message))

    /** Sends [message] once all earlier persist effects are synced, because it tells the recipient that they are. */
    fun sendWhenSynced(
        recipient: ReplicaMember,
        message: ReplicaMessage,
    ) {
        if (state.syncedToken == state.lastToken || !safeguards.awaitSync) {
            send(recipient, message)
        } else {
            defer(DeferredAction.Send(envelope(recipient, message)))
        }
    }

    private fun envelope(
        recipient: ReplicaMember,
        message: ReplicaMessage,
    ) = ReplicaEffect.SendEnvelope(
        recipient,
        ReplicaEnvelope(state.group.orEmpty(), state.self, recipient.identity, state.term, message),
    )

    fun defer(action: DeferredAction) {
        state = state.copy(deferred = state.deferred.add(Deferred(state.lastToken, action)))
    }

    fun nextToken(): Long {
        state = state.copy(lastToken = state.lastToken + 1)
        return state.lastToken
    }

    fun persistVote(vote: VoteState) {
        state = state.copy(vote = vote)
        emit(ReplicaEffect.PersistVote(nextToken(), vote))
    }

    /** Appends [records], replacing all records from the index of the first one onwards. */
    fun persistRecords(records: List<LogRecord>) {
        truncate(records.first().index)
        val changes =
            records
                .filter { it.kind == RecordKind.MEMBERSHIP }
                .map { IndexedMembership(it.index, decodeMembership(it.payload)) }
        state = state.copy(log = state.log.append(records), memberships = state.memberships.addAll(changes))
        emit(ReplicaEffect.PersistRecords(nextToken(), records))
        defer(DeferredAction.LogSynced(records.last().index))
    }

    private fun truncate(fromIndex: Long) {
        if (fromIndex > state.lastIndex) return
        check(fromIndex > state.committedIndex) { "record $fromIndex is committed and cannot change" }
        state =
            state.copy(
                log = state.log.truncate(fromIndex),
                memberships = state.memberships.filter { it.index < fromIndex }.toPersistentList(),
                syncedIndex = minOf(state.syncedIndex, fromIndex - 1),
            )
        limitDeferredSyncs(fromIndex - 1)
    }

    /** Records after [lastIndex] were removed, so a pending sync of them must no longer raise the synced index. */
    fun limitDeferredSyncs(lastIndex: Long) {
        state = state.copy(deferred = state.deferred.map { it.limitedTo(lastIndex) }.toPersistentList())
    }

    private fun Deferred.limitedTo(lastIndex: Long): Deferred =
        if (action is DeferredAction.LogSynced && action.lastIndex > lastIndex) {
            copy(action = DeferredAction.LogSynced(lastIndex))
        } else {
            this
        }

    /** Appends a record of the current term to the leader's log and returns its index. */
    fun appendAsLeader(
        kind: RecordKind,
        payload: ByteArray,
    ): Long {
        val index = state.lastIndex + 1
        persistRecords(listOf(LogRecord(index, state.term, kind, payload)))
        return index
    }

    fun resetElectionDeadline() {
        val random = Random(state.randomSeed)
        val timeout = random.nextLong(settings.electionTimeoutMinimum, settings.electionTimeoutMaximum + 1)
        state = state.copy(electionDeadline = now + timeout, randomSeed = random.nextLong())
    }

    fun updateLeading(change: (Leading) -> Leading) {
        val current = leading ?: return
        state = state.copy(phase = change(current))
    }
}

/** Safety rules of the protocol. Tests disable one to verify that their checks detect it; production enables all. */
internal data class Safeguards(
    val awaitSync: Boolean = true,
    val ownTermCommits: Boolean = true,
    val confirmReads: Boolean = true,
    val compareLogs: Boolean = true,
    val respectLeases: Boolean = true,
)

@OptIn(ExperimentalSerializationApi::class)
internal fun encodeMembership(membership: Membership): ByteArray =
    Cbor.encodeToByteArray(Membership.serializer(), membership)

@OptIn(ExperimentalSerializationApi::class)
internal fun decodeMembership(bytes: ByteArray): Membership = Cbor.decodeFromByteArray(Membership.serializer(), bytes)
