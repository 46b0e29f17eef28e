package hawthorncrank.control.internal

import hawthorncrank.common.Reducer
import hawthorncrank.consensus.RecoveredReplica
import hawthorncrank.consensus.ReplicaEffect
import hawthorncrank.consensus.ReplicaEvent
import hawthorncrank.consensus.ReplicaPeer
import hawthorncrank.consensus.ReplicaSettings
import hawthorncrank.consensus.replicaReducer
import hawthorncrank.consensus.startReplica
import hawthorncrank.control.ControlCodec
import hawthorncrank.control.ControlCommand
import hawthorncrank.control.ControlOperation
import hawthorncrank.control.DutyAnswer
import hawthorncrank.protocol.OperatorCommand
import hawthorncrank.protocol.ReplicaMember
import java.util.PriorityQueue
import kotlin.random.Random

/**
 * Control replicas with their disks, a network with delays and cuts in one direction, and a platform, in virtual time. A
 * suspended replica handles its events after its resumption. The clock of a replica runs ahead after its time of day was
 * set forward. With [checkedWhenWritten] false, a call is written without asking again.
 */
internal class DutyGroup(
    private val random: Random,
    private val rules: DutyRules,
    private val platform: DutyPlatform,
    private val checkedWhenWritten: Boolean = true,
) {
    val names = List(SIZE) { "control-$it" }
    private val nodes = names.associateWith { Node(it, RecoveredReplica("$it-1")) }
    private val tasks = PriorityQueue<Task>(compareBy({ it.at }, { it.order }))
    private val cuts = HashSet<Pair<String, String>>()
    private val cutFromPlatform = HashSet<String>()
    private var scheduled = 0L
    private var nextCommand = 1L
    var suspendsCalls = true
    var now = 1_000_000L
        private set

    private class Task(
        val at: Long,
        val order: Long,
        val action: () -> Unit,
    )

    private class Node(
        val name: String,
        var disk: RecoveredReplica,
    ) {
        var state: ProcessState? = null
        lateinit var reducer: Reducer<ProcessState, ControlEvent, ControlEffect>
        var start = 0
        var identities = 1
        var suspendedUntil = 0L
        var ahead = 0L
        val inFlight = HashSet<DutySubject>()
    }

    init {
        names.forEach(::start)
        val members = names.map { ReplicaMember(it, "$it-1", it) }
        val form = OperatorCommand.FormGroup(members)
        deliver(nodes.getValue(names[0]), ControlEvent.OperatorMessage(1, 1, "operator", form))
        run(5_000)
    }

    fun state(name: String): ProcessState? = nodes.getValue(name).state

    fun holder(): String? = names.firstOrNull { state(it)?.holdsDuties() == true }

    fun run(milliseconds: Long) {
        val end = now + milliseconds
        while (tasks.isNotEmpty() && tasks.peek().at <= end) {
            val task = tasks.poll()
            now = task.at
            task.action()
        }
        now = end
    }

    fun start(name: String) {
        val node = nodes.getValue(name)
        if (node.state != null) return
        val settings =
            ReplicaSettings(
                names.filter { it != name }.map { ReplicaPeer(it, it) },
                electionTimeoutMinimum = 700,
                electionTimeoutMaximum = 1_400,
                heartbeatInterval = 200,
                minimumRecordsBetweenSnapshots = 60,
            )
        val replica = replicaReducer(settings)
        val started = startReplica(settings, name, name, node.disk, random.nextLong(), now + node.ahead)
        val nonce = "$name-${++node.start}"
        val machine = rules.copy(machine = "core-$name")
        val initial = ProcessState(started.state, nonce, startedAt = now + node.ahead, dutyRules = machine)
        val transition = startedProcess(replica, initial, started.effects, now + node.ahead)
        node.reducer = controlReducer(replica)
        node.state = transition.state
        node.inFlight.clear()
        transition.effects.forEach { carryOut(node, it) }
        tick(node, node.start)
    }

    fun kill(name: String) {
        val node = nodes.getValue(name)
        node.state = null
        node.start++
        node.suspendedUntil = 0
    }

    fun loseDisk(name: String) {
        kill(name)
        val node = nodes.getValue(name)
        node.disk = RecoveredReplica("$name-${++node.identities}")
    }

    fun suspend(
        name: String,
        milliseconds: Long,
    ) {
        nodes.getValue(name).suspendedUntil = now + milliseconds
    }

    fun stepForward(name: String) {
        nodes.getValue(name).ahead += 2_000
    }

    /** Hands over and ends, as a process does after SIGTERM. */
    fun stop(name: String) {
        val node = nodes.getValue(name)
        val start = node.start
        deliver(node, ControlEvent.Leave)
        after(random.nextLong(1, 2_000)) { if (node.start == start) kill(name) }
    }

    fun cut(
        from: String,
        to: String,
    ) {
        cuts += from to to
    }

    fun cutFromPlatform(name: String) {
        cutFromPlatform += name
    }

    fun heal() {
        cuts.clear()
        cutFromPlatform.clear()
        names.forEach(::start)
    }

    fun propose(
        name: String,
        operation: ControlOperation,
    ) {
        val state = state(name) ?: return
        val number = nextCommand++
        val command = ControlCommand("test-$number", "test", state.control.clock, now, operation)
        val event = ReplicaEvent.ProposeCommand(TEST_TICKET + number, ControlCodec.encode(command))
        deliver(nodes.getValue(name), ControlEvent.Replica(event))
    }

    private fun after(
        delay: Long,
        action: () -> Unit,
    ) {
        tasks += Task(now + delay, scheduled++, action)
    }

    /** Runs an action of the process once it is not suspended, unless it was killed meanwhile. */
    private fun onProcess(
        node: Node,
        action: () -> Unit,
    ) {
        val start = node.start
        if (node.suspendedUntil <= now) return action()
        after(node.suspendedUntil - now) { if (node.start == start) onProcess(node, action) }
    }

    private fun tick(
        node: Node,
        start: Int,
    ): Unit =
        after(TICK) {
            if (node.start != start) return@after
            onProcess(node) {
                deliver(node, ControlEvent.Tick(now + WALL_OFFSET))
                tick(node, start)
            }
        }

    private fun deliver(
        node: Node,
        event: ControlEvent,
    ) = onProcess(node) {
        val state = node.state ?: return@onProcess
        val transition = node.reducer.reduce(state, event, now + node.ahead)
        node.state = transition.state
        transition.effects.forEach { carryOut(node, it) }
    }

    private fun deliverLater(
        node: Node,
        delay: Long,
        event: ControlEvent,
    ) {
        val start = node.start
        after(delay) { if (node.start == start) deliver(node, event) }
    }

    private fun carryOut(
        node: Node,
        effect: ControlEffect,
    ) {
        when (effect) {
            is ControlEffect.Persist -> persist(node, effect.effect)
            is ControlEffect.EncodeSnapshot -> {
                val captured = ReplicaEvent.SnapshotCaptured(effect.index, ControlCodec.encode(effect.state))
                deliverLater(node, 1, ControlEvent.Replica(captured))
            }
            is ControlEffect.SendToReplica -> {
                if (node.name to effect.replica in cuts || random.nextInt(LOSS) == 0) return
                val event = ControlEvent.Replica(ReplicaEvent.EnvelopeReceived(effect.envelope))
                after(random.nextLong(1, 25)) { deliver(nodes.getValue(effect.replica), event) }
            }
            is ControlEffect.CallPlatform -> call(node, effect.call)
            else -> Unit
        }
    }

    private fun persist(
        node: Node,
        effect: ReplicaEffect.Persist,
    ) {
        val start = node.start
        after(2) {
            if (node.start != start) return@after
            node.disk = node.disk.with(effect)
            deliver(node, ControlEvent.Replica(ReplicaEvent.StorageSynced(effect.token)))
        }
    }

    /** Connects, writes if the holder may, and gives the call up at its time limit. */
    private fun call(
        node: Node,
        call: DutyCall,
    ) {
        if (!node.inFlight.add(call.subject)) platform.violations += "two calls in flight about ${call.subject}"
        val start = node.start
        val limit = now + rules.callLimit
        if (suspendsCalls && random.nextInt(SUSPENDED_CALLS) == 0) suspend(node.name, random.nextLong(500, 8_000))
        after(random.nextLong(0, 30)) {
            if (node.start == start) onProcess(node) { write(node, call, limit) }
        }
    }

    private fun write(
        node: Node,
        call: DutyCall,
        limit: Long,
    ) {
        val state = node.state ?: return
        if (checkedWhenWritten && !dutyCallAllowed(state, call.token, now + node.ahead)) return end(node, call, 0, null)
        platform.sent(now)
        val delay = if (random.nextInt(8) == 0) random.nextLong(100, 1_200) else random.nextLong(1, 30)
        val arrives = (now + delay <= limit || !checkedWhenWritten) && node.name !in cutFromPlatform
        if (!arrives) return end(node, call, (limit - now).coerceAtLeast(0), null)
        val start = node.start
        after(delay) {
            val answer = platform.receive(now, "core-${node.name}", call)
            if (node.start != start) return@after
            if (answer ==
                null
            ) {
                end(node, call, (limit - now).coerceAtLeast(0), null)
            } else {
                end(node, call, delay, answer)
            }
        }
    }

    private fun end(
        node: Node,
        call: DutyCall,
        delay: Long,
        answer: DutyAnswer?,
    ) {
        val start = node.start
        val result = answer?.let { DutyResult.Answered(it) } ?: DutyResult.Unanswered("lost")
        after(delay) {
            if (node.start != start) return@after
            onProcess(node) {
                node.inFlight -= call.subject
                deliver(node, ControlEvent.DutyAnswered(call, result))
            }
        }
    }

    private companion object {
        const val SIZE = 5
        const val TICK = 100L
        const val LOSS = 100

        // One in this many calls finds its process suspended between the decision and the write.
        const val SUSPENDED_CALLS = 20
        const val WALL_OFFSET = 1_800_000_000_000L
        const val TEST_TICKET = 1_000_000_000L
    }
}

private fun RecoveredReplica.with(effect: ReplicaEffect.Persist): RecoveredReplica =
    when (effect) {
        is ReplicaEffect.PersistVote -> copy(vote = effect.vote)
        is ReplicaEffect.PersistRecords -> {
            val kept = records.takeWhile { it.index < effect.records.first().index }
            copy(records = kept + effect.records)
        }
        is ReplicaEffect.PersistSnapshot -> {
            val last = effect.snapshot.lastIndex
            val rest = if (effect.retainRecords) records.dropWhile { it.index <= last } else emptyList()
            copy(snapshot = effect.snapshot, records = rest)
        }
    }
