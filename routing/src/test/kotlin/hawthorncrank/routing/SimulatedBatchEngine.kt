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
        var chunk = CHUNK_TOKENS
        var milliseconds = sheet.step + running.size * sheet.step * SLOWDOWN_WHEN_FULL / sheet.slots
        val begun = ArrayList<SimulatedStream>()
        while (chunk > 0 && prefilling.isNotEmpty() && running.size + begun.size < sheet.slots) {
            val stream = prefilling.first()
            val tokens = minOf(chunk, stream.prefillLeft)
            val before = stream.kind.sharedTokens + stream.kind.ownTokens - stream.prefillLeft
            milliseconds += tokens / sheet.prefillSpeed * (1 + before / TOKENS_THAT_DOUBLE_A_CHUNK)
            stream.prefillLeft -= tokens
            chunk -= tokens
            if (stream.prefillLeft > 0) break
            begun += prefilling.removeFirst()
        }
        val end = now + milliseconds
        running += begun
        val events = running.filter { produceToken(it, end) }
        val ended = running.filter { it.tokens >= it.kind.events * sheet.tokensPerEvent }
        running -= ended.toSet()
        return SimulatedStep(milliseconds, events, ended)
    }

    private fun produceToken(
        stream: SimulatedStream,
        at: Double,
    ): Boolean {
        stream.tokens++
        if (stream.tokens % sheet.tokensPerEvent != 0) return false
        if (stream.firstEventAfter == null) {
            stream.firstEventAfter = at - stream.arrivedAt
        } else {
            stream.longestPause = maxOf(stream.longestPause, at - stream.lastEventAt)
        }
        stream.lastEventAt = at
        return true
    }

    private companion object {
        const val CHUNK_TOKENS = 2_048
        const val SLOWDOWN_WHEN_FULL = 1.5
        const val TOKENS_THAT_DOUBLE_A_CHUNK = 25_000.0
    }
}

internal class SimulatedStep(
    val milliseconds: Double,
    val events: List<SimulatedStream>,
    val ended: List<SimulatedStream>,
)
