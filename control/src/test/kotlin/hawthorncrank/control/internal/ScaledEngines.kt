package hawthorncrank.control.internal

import hawthorncrank.common.Milliseconds
import hawthorncrank.consensus.ReplicaSettings
import hawthorncrank.control.ControlHistory
import hawthorncrank.control.Duty
import hawthorncrank.control.DutyAnswer
import hawthorncrank.control.EngineGroup
import hawthorncrank.protocol.EngineClassDemand
import hawthorncrank.protocol.EngineScaling
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.ListedUpstream
import hawthorncrank.protocol.OperatorAnswer
import hawthorncrank.protocol.OperatorCommand
import hawthorncrank.protocol.RouteService
import kotlin.test.assertIs

/**
 * Control replicas that order the engines of one service, entries that report demand, and a platform that carries out each
 * order at once. [demand] is the engines that the entry on each link keeps busy; entry n is linked to replica n.
 */
internal class ScaledEngines(
    timeouts: ReplicaSettings = ReplicaSettings(emptyList()),
) {
    class Call(
        val at: Long,
        val replica: String,
        val call: DutyCall.Engines,
        val before: Int,
    )

    val calls = ArrayList<Call>()
    val violations = ArrayList<String>()
    val demand = HashMap<Int, Double>()
    var platformAnswers = true
    private val running = HashMap<EngineGroup, Int>()
    private val answeredReadings = HashMap<String, Int>()
    private val unanswered = ArrayList<Call>()
    private val rules = DutyRules("", setOf(Duty.AUTOSCALE), callsPerSecond = 50.0, lease = 3_000)
    val group = VirtualGroup(size = 3, timeouts = timeouts, duties = rules, onCall = ::called)
    val replicas = List(3) { "control-${it + 1}" }

    init {
        ZONES.forEach { running[EngineGroup(SERVICE, it, reclaimable = false)] = 1 }
        val scaling = EngineScaling(1, 14, Milliseconds(4_000), 0.2, ZONES.associateWith { 1.0 })
        val configuration =
            ControlHistory.initial.copy(routeServices = listOf(RouteService(SERVICE, servesModels = true, scaling)))
        val command = OperatorCommand.ReplaceConfiguration(1, ByteArray(0), configuration)
        assertIs<OperatorAnswer.Accepted>(group.execute(group.leader(), command))
    }

    fun leader() = group.state(group.leader())

    fun reductions() = calls.filter { it.call.content.count < it.before }

    /** The orders that wait in [replica] until they are applied. */
    fun pendingOrders(replica: String) =
        group
            .state(replica)
            .pending.keys
            .filter { it.startsWith(ENGINE_ORDER_PREFIX) }

    fun lose(groups: Set<EngineGroup>) = groups.forEach { running[it] = 0 }

    fun run(milliseconds: Long) =
        repeat((milliseconds / 100).toInt()) {
            group.run(100)
            if (group.now % 1_000 == 0L) demand.keys.forEach(::report)
            readList()
            answerCalls()
        }

    private fun report(entry: Int) {
        val ofClass = EngineClassDemand(SERVICE, "500-150", 1, 500, demand.getValue(entry), 2, 0.0)
        group.entry(replicas[entry - 1], entry.toLong(), EntryToControl.EngineDemand(listOf(ofClass)))
    }

    private fun readList() =
        replicas.forEach { replica ->
            val readings = group.readings(replica)
            val read = answeredReadings.put(replica, readings.size) ?: 0
            val listed = if (platformAnswers) listed() else null
            readings.drop(read).forEach { group.deliver(replica, ControlEvent.UpstreamsListed(it.askedAt, listed)) }
        }

    private fun listed() =
        running.flatMap { (group, count) ->
            List(count) {
                val name = "${group.availabilityZone}-${group.reclaimable}-$it"
                ListedUpstream(name, SERVICE, "10.0.0.1:80", group.availabilityZone, 64, false, group.reclaimable)
            }
        }

    private fun called(
        replica: String,
        call: DutyCall,
    ) {
        if (call !is DutyCall.Engines) return
        val stored = group.states().count { it.replica.lastIndex >= call.number }
        if (stored < 2) violations += "a call is made for order ${call.number}, which $stored replicas have stored"
        if (group.state(replica).replica.committedIndex < call.number) violations += "${call.number} is not committed"
        val order =
            group
                .state(replica)
                .control.engineCounts.orders[call.content.group]
        if (order?.number != call.number || order.count != call.content.count) violations += "$call is not ordered"
        val made = Call(group.now, replica, call, running[call.content.group] ?: 0)
        calls += made
        unanswered += made
    }

    private fun answerCalls() {
        val ended = unanswered.toList()
        unanswered.clear()
        ended.forEach {
            running[it.call.content.group] = it.call.content.count
            group.deliver(it.replica, ControlEvent.DutyAnswered(it.call, DutyResult.Answered(DutyAnswer.Accepted)))
        }
    }

    companion object {
        const val SERVICE = "model"
        private val ZONES = listOf("zone-1", "zone-2", "zone-3")
    }
}
