package hawthorncrank.control.internal

import hawthorncrank.common.Reducer
import hawthorncrank.consensus.RecoveredReplica
import hawthorncrank.consensus.ReplicaEvent
import hawthorncrank.consensus.ReplicaPeer
import hawthorncrank.consensus.ReplicaRole
import hawthorncrank.consensus.ReplicaSettings
import hawthorncrank.consensus.replicaReducer
import hawthorncrank.consensus.startReplica
import hawthorncrank.control.ControlCodec
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.OperatorAnswer
import hawthorncrank.protocol.OperatorCommand
import hawthorncrank.protocol.OperatorResponse
import hawthorncrank.protocol.ReplicaMember
import hawthorncrank.protocol.WireMessage

/**
 * Control processes in virtual time, with disks that never fail and a network from which a test can cut off replicas.
 */
internal class VirtualGroup(
    size: Int,
    private val requiredVoters: Int = 1,
    initialMembers: List<String>? = null,
    private val timeouts: ReplicaSettings = ReplicaSettings(emptyList()),
    private val usage: UsageRules? = null,
    private val duties: DutyRules? = null,
    private val readsEngineReports: Boolean = false,
    private val onCall: (replica: String, call: DutyCall) -> Unit = { _, _ -> },
) {
    private val names = List(size) { "control-${it + 1}" }
    private val peers = names.map { ReplicaPeer(it, address(it)) }
    private val nodes = names.associateWith { Node(it) }
    private val cut = HashSet<String>()
    private val queue = ArrayDeque<Pair<String, ControlEvent>>()
    val closedLinks = ArrayList<Long>()
    val readyToStop = ArrayList<String>()
    val wallSteps = HashMap<String, Long>()
    val reportReadings = ArrayList<Pair<String, ControlEffect.ReadEngineReport>>()
    val postedOrders = ArrayList<ControlEffect.PostOrder>()
    var now = 1_000L
        private set

    private class Node(
        val name: String,
    ) {
        lateinit var state: ProcessState
        lateinit var reducer: Reducer<ProcessState, ControlEvent, ControlEffect>
        val sent = ArrayList<Pair<Long, WireMessage>>()
        val readings = ArrayList<ControlEffect.ReadUpstreamList>()
    }

    init {
        nodes.values.forEach { node ->
            val settings = timeouts.copy(peers = peers.filter { it.name != node.name })
            val replica = replicaReducer(settings)
            val seed = node.name.hashCode().toLong()
            val started =
                startReplica(settings, node.name, address(node.name), RecoveredReplica(node.name + "-id"), seed, now)
            node.reducer = if (usage == null) controlReducer(replica) else closingReducer(replica)
            node.state =
                ProcessState(
                    started.state,
                    nonce = node.name,
                    startedAt = now,
                    requiredVoters = requiredVoters,
                    entryReleaseDelay = entryReleaseDelay(settings),
                    usage = usage?.let { UsageCollection(it) },
                    engineReadings = EngineReadings().takeIf { readsEngineReports },
                    dutyRules = duties?.copy(machine = "core-${node.name}"),
                )
            val transition = startedProcess(replica, node.state, started.effects, now)
            node.state = transition.state
            transition.effects.forEach { carryOut(node, it) }
        }
        execute(
            names.first(),
            OperatorCommand.FormGroup((initialMembers ?: names).map { ReplicaMember(it, "$it-id", address(it)) }),
        )
        run(10_000)
    }

    fun state(name: String): ProcessState = nodes.getValue(name).state

    /** The readings of the platform's list that a replica began. */
    fun readings(name: String): List<ControlEffect.ReadUpstreamList> = nodes.getValue(name).readings

    fun states(): List<ProcessState> = nodes.values.map { it.state }

    fun leader(): String =
        nodes.values
            .filter {
                it.name !in cut && it.state.replica.role == ReplicaRole.LEADER
            }.maxBy { it.state.replica.term }
            .name

    fun follower(): String = names.first { it != leader() && it !in cut }

    fun cut(name: String) {
        cut += name
    }

    fun heal() = cut.clear()

    fun sent(
        name: String,
        link: Long,
    ): List<WireMessage> =
        nodes
            .getValue(name)
            .sent
            .filter { it.first == link }
            .map { it.second }

    fun entry(
        name: String,
        link: Long,
        message: EntryToControl,
        entry: String = "entry-$link",
    ) = deliver(name, ControlEvent.EntryMessage(link, entry, message))

    /** Sends an operator's command and runs until it is answered or 12 s of virtual time have passed. */
    fun execute(
        name: String,
        command: OperatorCommand,
    ): OperatorAnswer? {
        val number = now * 1_000 + nodes.getValue(name).sent.size
        deliver(name, ControlEvent.OperatorMessage(OPERATOR_LINK, number, "operator", command))
        repeat(120) {
            sent(
                name,
                OPERATOR_LINK,
            ).filterIsInstance<OperatorResponse>().find { it.number == number }?.let { return it.answer }
            run(100)
        }
        return null
    }

    fun deliver(
        name: String,
        event: ControlEvent,
    ) {
        queue += name to event
        drain()
    }

    fun run(milliseconds: Long) {
        repeat((milliseconds / TICK).toInt()) {
            now += TICK
            nodes.keys.forEach { queue += it to ControlEvent.Tick(now + WALL_OFFSET + wallSteps.getOrDefault(it, 0)) }
            drain()
        }
    }

    private fun drain() {
        while (queue.isNotEmpty()) {
            val (name, event) = queue.removeFirst()
            val node = nodes.getValue(name)
            val transition = node.reducer.reduce(node.state, event, now)
            node.state = transition.state
            transition.effects.forEach { carryOut(node, it) }
        }
    }

    private fun carryOut(
        node: Node,
        effect: ControlEffect,
    ) {
        when (effect) {
            is ControlEffect.Persist -> reply(node, ReplicaEvent.StorageSynced(effect.effect.token))
            is ControlEffect.EncodeSnapshot ->
                reply(node, ReplicaEvent.SnapshotCaptured(effect.index, ControlCodec.encode(effect.state)))
            is ControlEffect.SendToReplica ->
                if (node.name !in cut && effect.replica !in cut) {
                    queue += effect.replica to ControlEvent.Replica(ReplicaEvent.EnvelopeReceived(effect.envelope))
                }
            is ControlEffect.NotifyReplica ->
                if (node.name !in cut && effect.replica !in cut) {
                    queue += effect.replica to ControlEvent.StreamNoticed(effect.notice)
                }
            is ControlEffect.SendToLink -> node.sent += effect.link to effect.message
            is ControlEffect.ReadUpstreamList -> node.readings += effect
            is ControlEffect.ReadEngineReport -> reportReadings += node.name to effect
            is ControlEffect.PostOrder -> postedOrders += effect
            is ControlEffect.CloseLink -> closedLinks += effect.link
            is ControlEffect.ReadyToStop -> readyToStop += node.name
            is ControlEffect.CallPlatform -> onCall(node.name, effect.call)
            is ControlEffect.CountDutyCall, is ControlEffect.MeasureCommand, is ControlEffect.Record -> Unit
        }
    }

    private fun reply(
        node: Node,
        event: ReplicaEvent,
    ) {
        queue += node.name to ControlEvent.Replica(event)
    }

    /** The leader closes usage windows as the holder of the duty does. */
    private fun closingReducer(replica: ReplicaReducer) =
        Reducer<ProcessState, ControlEvent, ControlEffect> { state, event, now ->
            val step = ControlStep(replica, state, now)
            step.handle(event)
            if (event is ControlEvent.Tick && state.replica.role == ReplicaRole.LEADER) step.closeUsageWindows()
            step.finish()
        }

    private fun address(name: String) = "127.0.0.1:710${name.last()}"

    companion object {
        const val OPERATOR_LINK = 900L
        const val WALL_OFFSET = 1_800_000_000_000L
        private const val TICK = 100L
    }
}
