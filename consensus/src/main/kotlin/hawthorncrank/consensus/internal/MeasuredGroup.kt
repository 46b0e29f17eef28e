package hawthorncrank.consensus.internal

import com.sun.management.ThreadMXBean
import hawthorncrank.consensus.RecoveredReplica
import hawthorncrank.consensus.ReplicaEffect
import hawthorncrank.consensus.ReplicaEvent
import hawthorncrank.consensus.ReplicaRole
import hawthorncrank.consensus.ReplicaSettings
import hawthorncrank.consensus.ReplicaState
import hawthorncrank.consensus.replicaReducer
import hawthorncrank.consensus.startReplica
import hawthorncrank.protocol.ReplicaEnvelope
import hawthorncrank.protocol.WireMessage
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import java.lang.management.ManagementFactory

internal data class ConsensusCounts(
    val messages: Long = 0,
    val linkBytes: Long = 0,
    val diskBytes: Long = 0,
    val syncs: Long = 0,
    val allocatedBytes: Long = 0,
) {
    operator fun minus(other: ConsensusCounts) =
        ConsensusCounts(
            messages - other.messages,
            linkBytes - other.linkBytes,
            diskBytes - other.diskBytes,
            syncs - other.syncs,
            allocatedBytes - other.allocatedBytes,
        )
}

/** Replicas in one process. Messages arrive immediately and in order, and one sync covers all writes of a reduction. */
internal class MeasuredGroup(
    private val settings: ReplicaSettings,
    voters: Int,
) {
    private val reducer = replicaReducer(settings)
    private val states = mutableMapOf<String, ReplicaState>()
    private val messagesInTransit = ArrayDeque<ReplicaEnvelope>()
    private val threadStatistics = ManagementFactory.getThreadMXBean() as ThreadMXBean
    private var totals = ConsensusCounts()
    private var countingBytes = 0L
    private var now = 0L

    init {
        repeat(voters) { number ->
            val identity = number.toString().padStart(IDENTITY_DIGITS, '0')
            val address = "10.0.0.$number:7000"
            val first =
                startReplica(settings, "control-$number", address, RecoveredReplica(identity), number.toLong(), now)
            states[identity] = first.state
        }
    }

    private val leader: String get() = states.entries.first { it.value.role == ReplicaRole.LEADER }.key

    fun counts(): ConsensusCounts =
        totals.copy(
            allocatedBytes = threadStatistics.getThreadAllocatedBytes(Thread.currentThread().id) - countingBytes,
        )

    fun formAndElect() {
        reduce(states.keys.first(), ReplicaEvent.FormGroup(0, states.values.map { it.self }))
        while (states.values.any { it.membership.voters.isEmpty() }) idle(TICK_MILLISECONDS)
    }

    fun commit(
        burst: Int,
        payloadBytes: Int,
    ) {
        val index = states.getValue(leader).committedIndex
        repeat(burst) { reduce(leader, ReplicaEvent.ProposeCommand(it.toLong(), ByteArray(payloadBytes))) }
        deliver()
        check(states.getValue(leader).committedIndex == index + burst) { "a command was not committed" }
    }

    fun idle(duration: Long) =
        repeat((duration / TICK_MILLISECONDS).toInt()) {
            now += TICK_MILLISECONDS
            states.keys.toList().forEach { reduce(it, ReplicaEvent.Tick) }
            deliver()
        }

    private fun deliver() {
        while (messagesInTransit.isNotEmpty()) {
            val envelope = messagesInTransit.removeFirst()
            reduce(envelope.recipient, ReplicaEvent.EnvelopeReceived(envelope))
        }
    }

    private fun reduce(
        identity: String,
        event: ReplicaEvent,
    ) {
        val transition = reducer.reduce(states.getValue(identity), event, now)
        states[identity] = transition.state
        transition.effects.forEach { if (it is ReplicaEffect.SendEnvelope) send(it.envelope) }
        val persists = transition.effects.filterIsInstance<ReplicaEffect.Persist>()
        transition.effects.filterIsInstance<ReplicaEffect.CaptureSnapshot>().forEach {
            reduce(identity, ReplicaEvent.SnapshotCaptured(it.index, ByteArray(0)))
        }
        val last = persists.lastOrNull() ?: return
        val bytes =
            persists.filterIsInstance<ReplicaEffect.PersistRecords>().flatMap { it.records }.sumOf(
                ::recordBytes,
            )
        totals = totals.copy(diskBytes = totals.diskBytes + bytes, syncs = totals.syncs + 1)
        reduce(identity, ReplicaEvent.StorageSynced(last.token))
    }

    /** Memory allocated by the counting itself is not included in the result. */
    @OptIn(ExperimentalSerializationApi::class)
    private fun send(envelope: ReplicaEnvelope) {
        messagesInTransit += envelope
        val before = threadStatistics.getThreadAllocatedBytes(Thread.currentThread().id)
        val bytes = Cbor.encodeToByteArray(WireMessage.serializer(), envelope).size + FRAME_LENGTH_BYTES
        totals = totals.copy(messages = totals.messages + 1, linkBytes = totals.linkBytes + bytes)
        countingBytes += threadStatistics.getThreadAllocatedBytes(Thread.currentThread().id) - before
    }

    private companion object {
        const val TICK_MILLISECONDS = 100L
        const val IDENTITY_DIGITS = 32
        const val FRAME_LENGTH_BYTES = 4
    }
}
