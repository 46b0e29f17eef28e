package hawthorncrank.routing

/** A stream on a simulated engine. */
internal class SimulatedStream(
    val number: Long,
    val kind: StreamKind,
    val entry: Int,
    val part: Long,
    val arrivedAt: Double,
    val ofRareTier: Boolean,
) {
    var prefillLeft = 0
    var tokens = 0
    var lastEventAt = 0.0
    var firstEventAfter: Double? = null
    var longestPause = 0.0

    /** Counts a token that was generated at a time. Returns whether it completed an event of [tokensPerEvent] tokens. */
    fun produceToken(
        at: Double,
        tokensPerEvent: Int,
    ): Boolean {
        tokens++
        if (tokens % tokensPerEvent != 0) return false
        if (firstEventAfter == null) {
            firstEventAfter = at - arrivedAt
        } else {
            longestPause = maxOf(longestPause, at - lastEventAt)
        }
        lastEventAt = at
        return true
    }

    /** The same stream at another entry, with nothing generated. */
    fun at(entry: Int) = SimulatedStream(number, kind, entry, part, arrivedAt, ofRareTier)

    val onTime: Boolean
        get() = (firstEventAfter ?: Double.MAX_VALUE) <= kind.firstEvent && longestPause <= kind.pause
}

/**
 * An engine with continuous batching that prefills prompts in chunks between the tokens of running streams. A chunk takes
 * longer the more tokens of its prompt precede it.
 */
internal class SimulatedBatchEngine(
    private val sheet: EngineSheet,
) {
    private val kept = LinkedHashMap<Long, Int>(16, 0.75f, true)
    private val prefilling = ArrayDeque<SimulatedStream>()
    private val running = ArrayList<SimulatedStream>()

    val idle: Boolean get() = prefilling.isEmpty() && running.isEmpty()

    fun submit(stream: SimulatedStream) {
        val holds = kept.put(stream.part, stream.kind.sharedTokens) != null
        while (kept.values.sum() > sheet.keptTokens) kept.remove(kept.keys.first())
        stream.prefillLeft = stream.kind.ownTokens + if (holds) 0 else stream.kind.sharedTokens
        prefilling += stream
    }

    /** Runs one step that begins at [now], and returns its duration and the streams that made an event or ended. */
    fun step(now: Double): SimulatedStep {
        var chunk = sheet.chunkTokens
        var milliseconds = sheet.stepWith(running.size)
        val begun = ArrayList<SimulatedStream>()
        while (chunk > 0 && prefilling.isNotEmpty() && running.size + begun.size < sheet.slots) {
            val stream = prefilling.first()
            val tokens = minOf(chunk, stream.prefillLeft)
            val before = stream.kind.sharedTokens + stream.kind.ownTokens - stream.prefillLeft
            milliseconds += sheet.prefill(tokens, before)
            stream.prefillLeft -= tokens
            chunk -= tokens
            if (stream.prefillLeft > 0) break
            begun += prefilling.removeFirst()
        }
        val end = now + milliseconds
        running += begun
        val events = running.filter { it.produceToken(end, sheet.tokensPerEvent) }
        val ended = running.filter { it.tokens >= it.kind.events * sheet.tokensPerEvent }
        running -= ended.toSet()
        return SimulatedStep(milliseconds, events, ended)
    }
}

internal class SimulatedStep(
    val milliseconds: Double,
    val events: List<SimulatedStream>,
    val ended: List<SimulatedStream>,
)
