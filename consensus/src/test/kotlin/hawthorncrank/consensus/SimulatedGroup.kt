package hawthorncrank.consensus

import hawthorncrank.common.EventCode
import hawthorncrank.consensus.internal.Safeguards
import hawthorncrank.consensus.internal.reduceReplica
import hawthorncrank.protocol.RecordKind
import hawthorncrank.protocol.ReplicaEnvelope
import hawthorncrank.protocol.ReplicaMember
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.test.assertTrue

class SimulatedReplica(
    val name: String,
    var disk: FakeDisk,
) {
    var state: ReplicaState? = null

    /** Changes with each start and crash, so that tasks of an earlier run of the process are not executed. */
    var incarnation = 0
    var identityCount = 1
    var application = listOf<String>()

    /** Until this time the process handles no events. Messages and ticks that arrive are handled later, in order. */
    var stalledUntil = 0L

    /** Until this time the disk refuses every write. The process ends at the first one and is started again. */
    var diskFullUntil = 0L

    /** Until this time the disk completes no write, and the thread that also encodes snapshots waits for it. */
    var diskStalledUntil = 0L

    /** Until this time the replica handles messages and requests but receives no ticks. */
    var timerStalledUntil = 0L
}

/** Simulates replicas, their disks and the network in virtual time. All random choices derive from [seed]. */
internal class SimulatedGroup(
    val seed: Long,
    names: List<String> = listOf("a", "b", "c"),
    private val spare: List<String> = emptyList(),
    private val safeguards: Safeguards = Safeguards(),
    val checker: HistoryChecker = HistoryChecker(),
    firstFormsGroup: Boolean = true,
    private val settingsOf: (String, ReplicaSettings) -> ReplicaSettings = { _, settings -> settings },
    private val adjustSettings: (ReplicaSettings) -> ReplicaSettings = { it },
) {
    val random = Random(seed)
    private val machines = (names + spare).associateWithTo(LinkedHashMap()) { SimulatedReplica(it, FakeDisk("$it-1")) }
    val replicas: Map<String, SimulatedReplica> get() = machines
    val cutLinks = mutableSetOf<Pair<String, String>>()
    val sentMessages = mutableListOf<ReplicaEnvelope>()
    val events = mutableListOf<EventCode>()

    /** Answers to group formations and membership changes. These have tickets of 0 or less. */
    val administrativeAnswers = mutableMapOf<Long, TicketAnswer>()
    var recordMessages = false
    var lossPercent = 0
    var duplicationPercent = 0
    var slowPercent = 0
    var now = 1_000_000L
    var steps = 0L
        private set
    private var tickets = 0L

    /** Each task has a due time, a sequence number and an action. */
    private val tasks = PriorityQueue<Triple<Long, Long, () -> Unit>>(compareBy({ it.first }, { it.second }))

    val voters: List<ReplicaMember>
        get() = checker.membership.voters

    val leader: SimulatedReplica?
        get() = replicas.values.filter { it.state?.role == ReplicaRole.LEADER }.maxByOrNull { it.state!!.term }

    init {
        replicas.keys.forEach(::start)
        val members = names.map { replicas.getValue(it).state!!.self }
        if (firstFormsGroup) deliver(names.first(), ReplicaEvent.FormGroup(0, members))
    }

    /** Adds a replica with an empty disk, which is not running yet. */
    fun add(name: String) {
        machines[name] = SimulatedReplica(name, FakeDisk("$name-1"))
    }

    /** Removes a replica for good. */
    fun remove(name: String) {
        crash(name)
        machines -= name
    }

    fun member(name: String): ReplicaMember {
        val disk = replicas.getValue(name).disk
        return ReplicaMember(name, disk.durable.identity, name)
    }

    private fun settings(name: String) =
        settingsOf(
            name,
            adjustSettings(ReplicaSettings(replicas.keys.filter { it != name }.map { ReplicaPeer(it, it) })),
        )

    fun after(
        delay: Long,
        action: () -> Unit,
    ) {
        tasks += Triple(now + delay, steps++, action)
    }

    fun run(
        duration: Long,
        until: () -> Boolean = { false },
    ): Boolean {
        val end = now + duration
        while (!until()) {
            val (time, _, action) = tasks.peek()?.takeIf { it.first <= end } ?: break
            tasks.remove()
            now = time
            action()
        }
        if (until()) return true
        now = end
        return false
    }

    fun start(name: String) {
        val replica = replicas.getValue(name)
        if (replica.state != null) return
        replica.application = emptyList()
        val first = startReplica(settings(name), name, name, replica.disk.durable, random.nextLong(), now)
        replica.state = first.state
        replica.incarnation++
        first.effects.forEach { execute(replica, it) }
        syncPersisted(replica, first.effects)
        scheduleTick(replica, replica.incarnation)
    }

    private fun scheduleTick(
        replica: SimulatedReplica,
        incarnation: Int,
    ): Unit =
        after(TICK_MILLISECONDS) {
            if (replica.incarnation == incarnation && replica.state != null) {
                if (replica.timerStalledUntil <= now) deliver(replica.name, ReplicaEvent.Tick)
                scheduleTick(replica, incarnation)
            }
        }

    fun state(name: String): ReplicaState = replicas.getValue(name).state!!

    fun followers(): List<String> = replicas.keys.filter { it != leader?.name && it !in spare }

    fun awaitHealthy() = assertTrue(run(30_000, until = ::isHealthy), "no recovery: ${checker.membership}")

    fun crash(name: String) {
        val replica = replicas.getValue(name)
        replica.state = null
        replica.stalledUntil = 0
        replica.incarnation++
        replica.disk.crash(random)
    }

    /** With [keepIdentity], the replica wrongly restarts with an empty disk under its old identity. */
    fun loseDisk(
        name: String,
        keepIdentity: Boolean = false,
    ) {
        crash(name)
        val replica = replicas.getValue(name)
        val lost = replica.disk.durable
        checker.lostIdentities += lost.identity
        replica.disk = FakeDisk(if (keepIdentity) lost.identity else "$name-${++replica.identityCount}")
        if (keepIdentity) replica.disk.write(ReplicaEffect.PersistVote(0, VoteState(lost.vote.group)))
        replica.disk.sync(0)
    }

    fun isolate(name: String) = replicas.keys.forEach { cutLinks += setOf(name to it, it to name) }

    fun propose(
        name: String,
        text: String = "",
    ): Long {
        val ticket = ++tickets
        val command = "$ticket$text"
        checker.openCommands[ticket] = command
        deliver(name, ReplicaEvent.ProposeCommand(ticket, command.encodeToByteArray()))
        return ticket
    }

    /** Proposes a command and returns whether it is committed within [duration] milliseconds. */
    fun commits(
        name: String,
        duration: Long,
    ): Boolean {
        val ticket = propose(name)
        return run(duration, until = { ticket in checker.committedTickets })
    }

    fun read(name: String) {
        checker.readRequested(++tickets)
        deliver(name, ReplicaEvent.RequestRead(tickets))
    }

    fun deliver(
        name: String,
        event: ReplicaEvent,
    ) {
        val replica = replicas.getValue(name)
        val state = replica.state ?: return
        if (replica.stalledUntil > now) return deliverAfterStall(replica, event)
        val transition = reduceReplica(settings(name), safeguards, state, event, now)
        replica.state = transition.state
        checker.observe(transition.state)
        if (transition.state.role == ReplicaRole.LEADER) checkLeases(transition.state)
        transition.effects.forEach { execute(replica, it) }
        syncPersisted(replica, transition.effects)
    }

    private fun syncPersisted(
        replica: SimulatedReplica,
        effects: List<ReplicaEffect>,
    ) {
        val token = effects.filterIsInstance<ReplicaEffect.Persist>().maxOfOrNull { it.token } ?: return
        scheduleSync(replica, token)
    }

    /** Engine orders rely on this: no other replica leads within the minimum election timeout of a majority contact. */
    private fun checkLeases(newest: ReplicaState) =
        replicas.values.mapNotNull { it.state }.forEach { other ->
            val age = now - (other.majorityContactAt ?: return@forEach)
            val broken = other.term < newest.term && age < settings(newest.self.name).electionTimeoutMinimum
            if (broken) throw Violation("${newest.self} leads within the lease of ${other.self}, $age ms old")
        }

    private fun deliverAfterStall(
        replica: SimulatedReplica,
        event: ReplicaEvent,
    ) {
        val incarnation = replica.incarnation
        after(replica.stalledUntil - now) { if (replica.incarnation == incarnation) deliver(replica.name, event) }
    }

    private fun scheduleSync(
        replica: SimulatedReplica,
        token: Long,
    ) {
        val incarnation = replica.incarnation
        after(storageDelay(replica, random.nextLong(1, if (slowPercent > 0) 40 else 3))) {
            if (replica.incarnation == incarnation) {
                replica.disk.sync(token)
                deliver(replica.name, ReplicaEvent.StorageSynced(token))
            }
        }
    }

    private fun execute(
        replica: SimulatedReplica,
        effect: ReplicaEffect,
    ) {
        when (effect) {
            is ReplicaEffect.SendEnvelope -> transmit(replica, effect)
            is ReplicaEffect.Persist -> persist(replica, effect)
            is ReplicaEffect.ApplyRecords -> apply(replica, effect)
            is ReplicaEffect.AnswerTicket -> answer(effect)
            is ReplicaEffect.ReadConfirmed -> checker.readConfirmed(effect.ticket, replica.state!!.appliedIndex)
            is ReplicaEffect.CaptureSnapshot -> capture(replica, effect.index)
            is ReplicaEffect.InstallSnapshot -> install(replica, effect)
            is ReplicaEffect.LogEvent -> events += effect.event
            is ReplicaEffect.BecameLeader, is ReplicaEffect.BecameFollower -> Unit
        }
    }

    private fun persist(
        replica: SimulatedReplica,
        effect: ReplicaEffect.Persist,
    ) {
        if (replica.diskFullUntil <= now) return replica.disk.write(effect)
        val incarnation = replica.incarnation
        after(1) {
            if (replica.incarnation != incarnation || replica.state == null) return@after
            crash(replica.name)
            after(RESTART_MILLISECONDS) { start(replica.name) }
        }
    }

    private fun answer(effect: ReplicaEffect.AnswerTicket) {
        if (effect.ticket <= 0) administrativeAnswers[effect.ticket] = effect.answer else checker.answered(effect)
    }

    private fun apply(
        replica: SimulatedReplica,
        effect: ReplicaEffect.ApplyRecords,
    ) {
        effect.records.forEach(checker::applied)
        val commands = effect.records.filter { it.kind == RecordKind.COMMAND }
        replica.application = replica.application + commands.map { it.payload.decodeToString() }
    }

    private fun capture(
        replica: SimulatedReplica,
        index: Long,
    ) {
        val incarnation = replica.incarnation
        val bytes = replica.application.joinToString("\n").encodeToByteArray()
        after(storageDelay(replica, random.nextLong(1, 50))) {
            if (replica.incarnation == incarnation) deliver(replica.name, ReplicaEvent.SnapshotCaptured(index, bytes))
        }
    }

    private fun storageDelay(
        replica: SimulatedReplica,
        delay: Long,
    ): Long = maxOf(0, replica.diskStalledUntil - now) + delay

    private fun install(
        replica: SimulatedReplica,
        effect: ReplicaEffect.InstallSnapshot,
    ) {
        replica.application =
            effect.bytes
                .decodeToString()
                .split("\n")
                .filter { it.isNotEmpty() }
        checker.installed(effect.index, replica.application)
    }

    private fun transmit(
        sender: SimulatedReplica,
        effect: ReplicaEffect.SendEnvelope,
    ) {
        val envelope = effect.envelope
        checker.sent(envelope, sender.disk)
        if (recordMessages) sentMessages += envelope
        val copies = if (random.nextInt(100) < duplicationPercent) 2 else 1
        repeat(copies) {
            if (random.nextInt(100) < lossPercent) return@repeat
            val delay = if (random.nextInt(100) < slowPercent) random.nextLong(2_000) else random.nextLong(1, 20)
            after(delay) {
                val cut = (sender.name to effect.recipient.address) in cutLinks
                if (!cut &&
                    effect.recipient.address in machines
                ) {
                    deliver(effect.recipient.address, ReplicaEvent.EnvelopeReceived(envelope))
                }
            }
        }
    }

    /** True if there is a leader, no learner, and every voter runs and has applied all committed records. */
    fun isHealthy(): Boolean {
        val states = replicas.values.mapNotNull { it.state }.associateBy { it.self.identity }
        val membership = checker.membership
        return leader != null && membership.learners.isEmpty() && membership.voters.isNotEmpty() &&
            membership.voters.all { states[it.identity]?.appliedIndex == checker.committed.size.toLong() }
    }
}

/** Creates a group, by default of three replicas, and waits until it is healthy. */
internal fun healthyGroup(
    vararg names: String = arrayOf("a", "b", "c"),
    spare: List<String> = emptyList(),
): SimulatedGroup = SimulatedGroup(seed = 17, names = names.toList(), spare = spare).also(SimulatedGroup::awaitHealthy)

private const val TICK_MILLISECONDS = 100L
private const val RESTART_MILLISECONDS = 1_000L
