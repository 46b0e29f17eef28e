package hawthorncrank.entry.core

import hawthorncrank.protocol.CallOutcome

/** One run of a call at an upstream. The checks count these. */
internal class Execution(
    val upstream: String,
    val submission: Submission,
    val content: String,
    val keyed: Boolean,
    val startedAt: Long,
) {
    var sent = 0L
}

/** Part [offset] of the answer of an execution. */
internal data class Chunk(
    val execution: Execution,
    val offset: Long,
)

/** One exchange between an entry and an upstream. It reports nothing once it is [closed]. */
internal class Exchange(
    val entry: EntryNode,
    val start: EntryEffect.StartAttempt,
    val submission: Submission,
    var lastByteAt: Long,
) {
    var closed = false
    var execution: Execution? = null
}

/** A simulated engine or service that can crash, hang, reject calls, drop connections and answer late. */
internal class FakeUpstream(
    private val simulation: Simulation,
    private val fleet: Fleet,
    val name: String,
) {
    var down = false
    var hanging = false
    var refusing = false
    var slow = false
    private var exchanges = mutableListOf<Exchange>()
    private val streams = mutableMapOf<Pair<EntryNode, Long>, Execution>()

    fun open(exchange: Exchange) {
        val entry = exchange.entry
        val keyed = exchange.start.claimNumber != null
        when {
            down -> return end(exchange, AttemptEnd.NotConnected)
            hanging -> Unit
            refusing -> return end(exchange, AttemptEnd.Rejected(1_000))
            exchange.start.resume != null -> resume(exchange)
            else -> run(exchange, keyed)
        }
        if (exchange.closed) return
        exchanges.add(exchange)
        simulation.every(500, { !exchange.closed && entry.alive }) { checkTimeout(exchange) }
    }

    private fun run(
        exchange: Exchange,
        keyed: Boolean,
    ) {
        val submission = exchange.submission
        val execution = Execution(name, submission, submission.caller.content, keyed, simulation.now)
        repeat(if (fleet.upstreamsRunTwice) 2 else 1) { fleet.executions.add(execution) }
        exchange.execution = execution
        streams[exchange.entry to exchange.start.attemptNumber] = execution
        if (submission.caller.poison) {
            simulation.after(simulation.between(20, 200)) {
                if (!down && !exchange.closed) {
                    fleet.engineLosses.add(exchange.entry to execution.content)
                    crash(simulation.between(500, 5_000))
                }
            }
            return
        }
        val pause = if (slow) simulation.between(500, 2_500) else simulation.between(20, 300)
        simulation.after(pause) { produce(exchange, execution, keyed) }
    }

    private fun resume(exchange: Exchange) {
        val resume = exchange.start.resume ?: return
        val execution = streams[exchange.entry to resume.brokenAttemptNumber]
        if (execution == null) return end(exchange, AttemptEnd.Rejected(null))
        execution.sent = resume.bytesDelivered
        exchange.execution = execution
        streams[exchange.entry to exchange.start.attemptNumber] = execution
        simulation.after(20) { produce(exchange, execution, keyed = false) }
    }

    private fun produce(
        exchange: Exchange,
        execution: Execution,
        keyed: Boolean,
    ) {
        if (exchange.closed || down || hanging) return
        exchange.lastByteAt = simulation.now
        if (keyed) {
            val answer =
                CallOutcome.Answered(
                    200,
                    "text/plain",
                    execution.content.encodeToByteArray(),
                    execution.content,
                )
            return end(exchange, AttemptEnd.Completed(200, 0, 10, answer))
        }
        exchange.entry.receivedChunk(exchange, Chunk(execution, execution.sent++))
        if (execution.sent >= STREAM_CHUNKS) {
            return end(exchange, AttemptEnd.Completed(200, STREAM_CHUNKS.toInt(), execution.sent, null))
        }
        simulation.after(
            simulation.between(20, if (slow) 1_500 else 200),
        ) { produce(exchange, execution, keyed = false) }
    }

    private fun checkTimeout(exchange: Exchange) {
        val begun = (exchange.execution?.sent ?: 0) > 0
        val limit = if (begun) exchange.start.timeouts.betweenBytes else exchange.start.timeouts.firstByte
        if (simulation.now - exchange.lastByteAt < limit) return
        val phase = if (begun) TimeoutPhase.BETWEEN_BYTES else TimeoutPhase.FIRST_BYTE
        end(exchange, AttemptEnd.TimedOut(phase, 0, deliveredBy(exchange)))
    }

    /** Breaks the connection of one random exchange while the upstream keeps running. */
    fun dropConnection() {
        val open = exchanges.filterNot { it.closed }
        if (open.isEmpty()) return
        val exchange = open.random(simulation.random)
        end(exchange, AttemptEnd.Broken(0, deliveredBy(exchange)))
    }

    fun crash(downFor: Long) {
        if (down) return
        down = true
        streams.clear()
        val broken = exchanges.toList()
        exchanges = mutableListOf()
        broken.forEach { end(it, AttemptEnd.Broken(0, deliveredBy(it))) }
        simulation.after(downFor) { down = false }
    }

    private fun deliveredBy(exchange: Exchange): Long = exchange.entry.deliveredBy(exchange.start.attemptNumber)

    private fun end(
        exchange: Exchange,
        end: AttemptEnd,
    ) {
        if (exchange.closed) return
        exchange.closed = true
        exchanges.remove(exchange)
        exchange.entry.exchangeEnded(exchange, end)
    }

    fun cancel(exchange: Exchange) = end(exchange, AttemptEnd.Cancelled(0))
}

internal const val STREAM_CHUNKS = 6L
