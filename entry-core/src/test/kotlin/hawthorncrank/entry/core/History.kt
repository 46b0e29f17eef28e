package hawthorncrank.entry.core

import hawthorncrank.entry.core.internal.EntryRules
import hawthorncrank.protocol.WeightStore

/**
 * One generated history. Callers submit calls for 40 s while temporary faults are injected, sometimes two at a time.
 * Then no more faults follow until every request must have ended.
 */
internal class History(
    seed: Long,
    rules: EntryRules = EntryRules(),
    trafficRejectsRestarts: Boolean = true,
    upstreamsRunTwice: Boolean = false,
) {
    private val simulation = Simulation(seed)
    private val fleet = Fleet(simulation, rules, trafficRejectsRestarts, upstreamsRunTwice)
    private var calls = 0
    private val faults = mutableListOf<String>()

    fun run(): HistoryResult {
        fleet.begin()
        simulation.after(1_000) { nextCall() }
        simulation.after(2_000) { nextFault() }
        runCatching { simulation.runUntil(simulation.now + LOAD_MILLISECONDS + QUIET_MILLISECONDS) }
            .onFailure { fleet.violations.add("ERROR: $it at ${it.stackTrace.first()}") }
        return HistoryResult(checkHistory(fleet), faults, fleet)
    }

    private fun nextCall() {
        calls++
        if (simulation.now >= 1_000_000 + LOAD_MILLISECONDS) return
        val organisation = listOf("lumen", "aisle").random(simulation.random)
        val kind = simulation.random.nextInt(100)
        val caller =
            when {
                kind < 40 -> {
                    val target = RequestTarget.Service("orders", idempotent = false, idempotencyKey = "key-$calls")
                    Caller(organisation, "orders", target, "order-$calls")
                }
                kind < 43 ->
                    Caller(
                        organisation,
                        "quick",
                        model(),
                        "poison-${simulation.random.nextInt(2)}",
                        poison = true,
                    )
                else -> Caller(organisation, if (kind < 70) "quick" else "patient", model(), "prompt-$calls")
            }
        if (simulation.chance(15)) caller.finishBy = simulation.now + simulation.between(500, 15_000)
        submit(caller, resends = 3)
        if (caller.keyed && simulation.chance(15)) {
            simulation.after(simulation.between(0, 400)) { submit(caller, resends = 2) }
        }
        simulation.after(simulation.between(0, 2 * LOAD_MILLISECONDS / CALLS)) { nextCall() }
    }

    private fun model() =
        RequestTarget.Model("model", promptTokens = 20, maximumTokens = 20, prefixBlocks = emptyList())

    /** Sends a call to any live entry, and resends it later if it has no answer and may be sent again. */
    private fun submit(
        caller: Caller,
        resends: Int,
    ) {
        val entry = fleet.entries.filter { it.alive }.randomOrNull(simulation.random) ?: return
        val submission = entry.submit(caller)
        if (simulation.chance(5)) simulation.after(simulation.between(0, 3_000)) { entry.callerDisconnects(submission) }
        if (resends == 0 || !(caller.keyed || caller.poison)) return
        simulation.after(simulation.between(200, 9_000)) {
            val last = submission.finals.lastOrNull()
            if (last == Final.Complete || last is Final.Replayed) return@after
            if (!submission.closed) entry.callerDisconnects(submission)
            submit(caller, resends - 1)
        }
    }

    private fun nextFault() {
        if (simulation.now >= 1_000_000 + LOAD_MILLISECONDS) return
        repeat(if (simulation.chance(30)) 2 else 1) { inject() }
        simulation.after(simulation.between(1_000, 8_000)) { nextFault() }
    }

    private fun inject() {
        val entry = fleet.entries.random(simulation.random)
        val name = entry.name
        val peer = fleet.zoneEntries.filter { it != name }.random(simulation.random)
        val upstream = fleet.upstreams.random(simulation.random)
        val duration = simulation.between(500, 9_000)
        val kinds =
            listOf<Pair<String, () -> Unit>>(
                "kill" to { fleet.kill(entry) },
                "stop" to { entry.send(EntryEvent.StopRequested) },
                "cut to control" to { fleet.cut(name, CONTROL, duration) },
                "cut from control" to { fleet.cut(CONTROL, name, duration) },
                "cut control" to { cutControl(name, duration) },
                "cut zone" to { fleet.zoneEntries.forEach { cutControl(it, duration) } },
                "cut peers" to { fleet.cut(name, peer, duration) },
                "lose majority" to { temporarily(duration) { fleet.control.majority = !it } },
                "crash" to { upstream.crash(duration) },
                "hang" to { temporarily(duration) { upstream.hanging = it } },
                "refuse" to { temporarily(duration) { upstream.refusing = it } },
                "slow" to { temporarily(duration) { upstream.slow = it } },
                "drop" to { upstream.dropConnection() },
                "leave" to { fleet.mark(upstream.name, maxOf(duration, 4_000)) },
                "burst" to { burst(entry) },
                "change" to { fleet.control.commit { it.copy(weightStore = WeightStore(loadsPerMinute = calls + 1)) } },
            )
        val (kind, begin) = kinds.random(simulation.random)
        faults.add("$kind $name ${upstream.name} at ${simulation.now} for $duration")
        begin()
    }

    /** Submits more low-priority calls than the entry has room for, then high-priority calls before answers begin. */
    private fun burst(entry: EntryNode) {
        if (!entry.alive) return
        repeat(15) { entry.submit(Caller("lumen", "patient", model(), "patient-${calls++}")) }
        simulation.after(simulation.between(1, 200)) {
            if (entry.alive) repeat(10) { entry.submit(Caller("aisle", "quick", model(), "quick-${calls++}")) }
        }
    }

    private fun cutControl(
        name: String,
        duration: Long,
    ) {
        fleet.cut(name, CONTROL, duration)
        fleet.cut(CONTROL, name, duration)
    }

    private fun temporarily(
        duration: Long,
        set: (Boolean) -> Unit,
    ) {
        set(true)
        simulation.after(duration) { set(false) }
    }

    private companion object {
        const val CALLS = 120
        const val LOAD_MILLISECONDS = 40_000L

        // Longer than every timeout, retry and resend interval, so that no request may be open afterwards.
        const val QUIET_MILLISECONDS = 90_000L
    }
}

internal class HistoryResult(
    val violations: List<String>,
    val faults: List<String>,
    val fleet: Fleet,
)

/** Checks the guarantees for a finished history and returns one sentence for each violation. */
internal fun checkHistory(fleet: Fleet): List<String> {
    val found = fleet.violations.toMutableList()
    val runsByCall = fleet.executions.filter { it.keyed }.groupBy { it.submission.caller }
    runsByCall.filterValues { it.size > 1 }.forEach { (caller, runs) ->
        found.add("DOUBLE: ${caller.content} ran ${runs.size} times")
    }
    val ran = fleet.executions.map { it.submission }.toSet()
    fleet.submissions.forEach { submission ->
        val name = "request ${submission.number} of ${submission.entry.name} (${submission.caller.content})"
        val refusals = submission.finals.filterIsInstance<Final.Refused>()
        if (refusals.any { it.refusal.outcome == StatedOutcome.NOT_RUN } && submission in ran) {
            found.add("NOT RUN: $name ran although its caller was told otherwise")
        }
        if (submission.finals.size > 1) found.add("FINALS: $name got ${submission.finals}")
        if (!submission.closed) found.add("HANGING: $name has no final answer")
        val contiguous = submission.chunks.indices.all { submission.chunks[it].offset == it.toLong() }
        val sources = submission.chunks.map { it.execution }.toSet()
        if (sources.size > 1 || !contiguous) found.add("SPLICED: $name got chunks of ${sources.size} executions")
        if (sources.any { it.content != submission.caller.content }) found.add("MISDELIVERED: $name")
        val expected = if (submission.caller.keyed) 1 else STREAM_CHUNKS.toInt()
        if (Final.Complete in submission.finals && submission.chunks.size != expected) found.add("PARTIAL: $name")
        val replayed = submission.finals.filterIsInstance<Final.Replayed>()
        if (replayed.any { it.body != submission.caller.content }) found.add("MISDELIVERED: replay for $name")
    }
    fleet.applied.forEach { (entry, versions) ->
        val reverted = versions.zipWithNext().any { (earlier, later) -> later < earlier }
        if (reverted) found.add("REVERTED: $entry applied $versions")
    }
    fleet.engineLosses.groupBy { it }.filterValues { it.size > 3 }.forEach { (loss, all) ->
        found.add("CRASHES: ${loss.first.name} lost ${all.size} engines to ${loss.second}")
    }
    return found
}
