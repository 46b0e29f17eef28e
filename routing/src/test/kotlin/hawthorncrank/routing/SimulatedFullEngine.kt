package hawthorncrank.routing

import hawthorncrank.capacity.EngineReport
import hawthorncrank.capacity.ReportedStream

/**
 * An engine with continuous batching whose running streams and kept prompt parts share its memory. It admits prompts by
 * class, prefills them in chunks between the tokens of running streams, and forgets the parts that were used longest ago. If
 * its running streams need more memory than there is, the newest of the last class has to be prefilled again.
 */
internal class SimulatedFullEngine(
    private val sheet: EngineSheet,
    private val pace: EnginePace = EnginePace { _, work -> work },
) {
    /** The sizes of the shared parts that were read, by part, each as often as it was read here. */
    val readParts = HashMap<Long, MutableList<Int>>()
    var readTokens = 0L
        private set

    private val kept = LinkedHashMap<Long, Int>(16, 0.75f, true)
    private val waiting = ArrayList<SimulatedStream>()
    private val running = ArrayList<SimulatedStream>()
    private var prefilling: SimulatedStream? = null

    val idle: Boolean get() = waiting.isEmpty() && running.isEmpty() && prefilling == null

    private val admitted: List<SimulatedStream> get() = running + listOfNotNull(prefilling)

    fun submit(stream: SimulatedStream) {
        val place = waiting.indexOfFirst { it.kind.engineClass > stream.kind.engineClass }
        if (place < 0) waiting += stream else waiting.add(place, stream)
    }

    /** Ends a stream whose caller has left. */
    fun cancel(stream: SimulatedStream) {
        waiting -= stream
        running -= stream
        if (prefilling === stream) prefilling = null
    }

    /** Ends all streams and forgets all prompts. */
    fun crash() {
        waiting.clear()
        running.clear()
        prefilling = null
        kept.clear()
    }

    /** Runs one step that begins at [now], and returns its duration and the streams that made an event or ended. */
    fun step(now: Double): SimulatedStep {
        var chunk = sheet.chunkTokens
        var milliseconds = sheet.stepWith(running.size)
        val begun = ArrayList<SimulatedStream>()
        while (chunk > 0) {
            val stream = prefilling ?: admitNext(running.size + begun.size) ?: break
            val tokens = minOf(chunk, stream.prefillLeft)
            milliseconds += sheet.prefill(tokens, promptTokens(stream) - stream.prefillLeft)
            readTokens += tokens
            stream.prefillLeft -= tokens
            chunk -= tokens
            if (stream.prefillLeft > 0) break
            begun += stream
            prefilling = null
        }
        running += begun
        val duration = pace.duration(now, milliseconds)
        val end = now + duration
        val events = running.filter { it.produceToken(end, sheet.tokensPerEvent) }
        val ended = running.filter { it.tokens >= it.kind.events * sheet.tokensPerEvent }
        running -= ended.toSet()
        preempt()
        return SimulatedStep(duration, events, ended)
    }

    /** What the engine holds for its streams, as a report that a reader gets [at] a time. */
    fun report(at: Long): EngineReport =
        EngineReport(
            at,
            admitted.associate { stream ->
                val events = stream.tokens / sheet.tokensPerEvent
                val unread = if (stream === prefilling) stream.prefillLeft else 0
                stream.number.toString() to ReportedStream(promptTokens(stream) - unread, events)
            },
        )

    private fun admitNext(admittedCount: Int): SimulatedStream? {
        val stream = waiting.firstOrNull() ?: return null
        if (admittedCount >= sheet.slots) return null
        val holds = kept[stream.part] != null
        val needed = privateTokens(stream) + if (holds) 0 else stream.kind.sharedTokens
        if (!makeRoom(needed, stream.part)) return null
        waiting.removeFirst()
        if (!holds) readParts.getOrPut(stream.part) { ArrayList() } += stream.kind.sharedTokens
        kept[stream.part] = stream.kind.sharedTokens
        stream.prefillLeft = needed
        prefilling = stream
        return stream
    }

    private fun makeRoom(
        needed: Int,
        part: Long,
    ): Boolean {
        val inUse = admitted.map { it.part }.toSet() + part
        while (usedTokens() + needed > sheet.keptTokens) {
            val oldest = kept.keys.firstOrNull { it !in inUse } ?: return false
            kept -= oldest
        }
        return true
    }

    private fun preempt() {
        while (usedTokens() > sheet.keptTokens && running.size > 1) {
            if (makeRoom(0, running.first().part)) return
            val last = running.maxOf { it.kind.engineClass }
            val newest = running.last { it.kind.engineClass == last }
            running -= newest
            waiting.add(0, newest)
        }
    }

    private fun usedTokens(): Int = kept.values.sum() + admitted.sumOf(::privateTokens)

    private fun privateTokens(stream: SimulatedStream) = stream.kind.ownTokens + stream.tokens

    private fun promptTokens(stream: SimulatedStream) = stream.kind.sharedTokens + privateTokens(stream)
}
