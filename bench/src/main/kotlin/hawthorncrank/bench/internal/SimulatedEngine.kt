package hawthorncrank.bench.internal

/** A request on an engine. [tokens] counts the produced tokens. A [cancelled] sequence produces no more tokens. */
internal class Sequence(
    val request: SimulatedRequest,
    val priority: Int,
    val order: Long,
) {
    var tokens = 0
    var prefilled = false
    var cancelled = false
}

/** Receives the events of an engine. [tokensProduced] is called after the first token and then only periodically. */
internal interface EngineListener {
    fun tokensProduced(sequence: Sequence)

    fun finished(sequence: Sequence)

    fun crashed(
        engine: SimulatedEngine,
        sequences: List<Sequence>,
    )
}

/**
 * An engine with continuous batching. Each step runs the sequences with the lowest priority numbers. A sequence that is
 * preempted keeps its tokens and continues in a later step. Prompt blocks that are not cached lengthen the step.
 */
internal class SimulatedEngine(
    val model: EngineModel,
    private val time: VirtualTime,
    private val listener: EngineListener,
    private val cacheEvents: (CacheEvents) -> Unit,
) {
    private val sequences = mutableListOf<Sequence>()
    private val cache = LinkedHashMap<Long, Unit>(16, 0.75f, true)
    private var stepping = false
    private var generation = 0
    private var order = 0L
    private var cacheSequence = 0L
    private var lastInterval: Double? = null
    var slowdown = 1.0
    var crashed = false
        private set

    val running: Int
        get() = minOf(sequences.size, model.slots)
    val queued: Int
        get() = sequences.size - running
    val interval: Double?
        get() = lastInterval

    fun submit(
        request: SimulatedRequest,
        priority: Int,
    ): Sequence {
        val sequence = Sequence(request, priority, order++)
        if (crashed) {
            time.at(time.now + 1) { listener.crashed(this, listOf(sequence)) }
            return sequence
        }
        sequences += sequence
        beginStep()
        return sequence
    }

    fun cancel(sequence: Sequence) {
        sequence.cancelled = true
        sequences -= sequence
    }

    fun crash() {
        crashed = true
        generation++
        stepping = false
        cache.clear()
        cacheSequence = 0
        lastInterval = null
        val lost = sequences.toList()
        sequences.clear()
        listener.crashed(this, lost)
    }

    fun recover() {
        crashed = false
    }

    private fun beginStep() {
        if (stepping || crashed || sequences.isEmpty()) return
        stepping = true
        val batch = batch()
        val prefillMilliseconds = batch.filter { !it.prefilled }.sumOf { prefill(it) }
        val interval = model.interval(batch.size) * slowdown
        lastInterval = interval
        val current = generation
        val end = time.now + maxOf(1, Math.round(interval + prefillMilliseconds * slowdown))
        time.at(end) { if (generation == current) endStep(batch) }
    }

    private fun batch(): List<Sequence> {
        if (sequences.size <= model.slots) return sequences.toList()
        return sequences.sortedWith(compareBy({ it.priority }, { it.order })).take(model.slots)
    }

    private fun prefill(sequence: Sequence): Double {
        sequence.prefilled = true
        val missing = sequence.request.prefixBlocks.filter { cache.put(it, Unit) == null }
        if (missing.isEmpty()) return 0.0
        val evicted = mutableListOf<Long>()
        while (cache.size > model.cacheBlocks) {
            val oldest = cache.keys.first()
            cache.remove(oldest)
            evicted += oldest
        }
        cacheEvents(CacheEvents(cacheSequence++, missing, evicted))
        return missing.size * model.prefillMillisecondsPerBlock
    }

    private fun endStep(batch: List<Sequence>) {
        for (sequence in batch) {
            if (sequence.cancelled) continue
            sequence.tokens++
            if (sequence.tokens >= sequence.request.outputTokens) {
                sequences -= sequence
                listener.finished(sequence)
            } else if (sequence.tokens == 1 || sequence.tokens % TOKENS_PER_PROGRESS_REPORT == 0) {
                listener.tokensProduced(sequence)
            }
        }
        stepping = false
        beginStep()
    }

    private companion object {
        /** At typical token intervals this reports progress about once per second. */
        const val TOKENS_PER_PROGRESS_REPORT = 30
    }
}

internal class CacheEvents(
    val sequence: Long,
    val stored: List<Long>,
    val evicted: List<Long>,
)
