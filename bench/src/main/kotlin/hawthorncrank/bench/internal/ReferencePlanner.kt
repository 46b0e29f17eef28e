package hawthorncrank.bench.internal

import java.util.TreeSet

/**
 * A planner that knows what no entry can know: every output length and the current state of every engine, with a single
 * queue for all entries. It serves the highest tier first, by earliest deadline within a tier, and starts a request
 * only if it can finish in time. Its goodput is an upper bound for policies with this order.
 */
internal class ReferencePlanner(
    private val scenario: Scenario,
    private val requests: List<SimulatedRequest>,
) : EngineListener {
    private val time = VirtualTime()
    private val record = RunRecord(scenario)
    private val engines = scenario.engines.map { SimulatedEngine(it, time, this, {}) }
    private val runningSequences = engines.associateWith { mutableSetOf<Sequence>() }
    private val firstTokens = mutableMapOf<Long, Long>()
    private val queues =
        scenario.classes
            .map { it.settings.tier }
            .sorted()
            .associateWith { TreeSet<SimulatedRequest>(compareBy({ it.finishBy }, { it.number })) }

    fun run(): RunRecord {
        for (request in requests) {
            time.at(request.arrival) {
                record.offered(request)
                queues.getValue(request.demand.settings.tier) += request
                plan()
            }
        }
        for (fault in scenario.faults) schedule(fault)
        time.runUntil(scenario.duration)
        return record
    }

    override fun tokensProduced(sequence: Sequence) {
        if (sequence.tokens == 1) firstTokens[sequence.request.number] = time.now
    }

    override fun finished(sequence: Sequence) {
        runningSequences.values.forEach { it -= sequence }
        record.finished(sequence.request, firstTokens.remove(sequence.request.number) ?: time.now, time.now)
        plan()
    }

    override fun crashed(
        engine: SimulatedEngine,
        sequences: List<Sequence>,
    ) {
        runningSequences.getValue(engine).clear()
        for (sequence in sequences) {
            record.wasted(sequence.tokens, "crashed")
            if (sequence.tokens == 0) queues.getValue(sequence.request.demand.settings.tier) += sequence.request
        }
        plan()
    }

    private fun schedule(fault: EngineFault) {
        val engine = engines.first { it.model.name == fault.engine }
        time.at(fault.from) { if (fault.slowdown == null) engine.crash() else engine.slowdown = fault.slowdown }
        time.at(fault.until) {
            engine.slowdown = 1.0
            engine.recover()
            plan()
        }
    }

    private fun plan() {
        for (queue in queues.values) {
            while (queue.isNotEmpty()) {
                val engine =
                    engines
                        .filter { !it.crashed && runningSequences.getValue(it).size < it.model.slots }
                        .minByOrNull { it.slowdown * (runningSequences.getValue(it).size + 1) } ?: return
                val request = queue.first()
                queue.remove(request)
                if (finishesInTime(request, engine)) {
                    record.waited(request, time.now)
                    runningSequences.getValue(engine) += engine.submit(request, priority = 1)
                } else {
                    record.shed(request)
                }
            }
        }
    }

    private fun finishesInTime(
        request: SimulatedRequest,
        engine: SimulatedEngine,
    ): Boolean {
        val interval = engine.model.interval(engine.model.slots) * engine.slowdown * PREFILL_ALLOWANCE
        return time.now + request.outputTokens * interval <= request.finishBy
    }

    private companion object {
        /** Prefill of other prompts in the batch lengthens the token interval by about this factor. */
        const val PREFILL_ALLOWANCE = 1.3
    }
}
