package hawthorncrank.capacity

import java.util.PriorityQueue

/** An engine that reads one prompt after the other, keeps shared parts in a cache, and streams answers. */
internal class SimulatedEngine(
    val pool: EnginePool,
    val orderedAt: Long,
    val servesAt: Long,
) {
    var leavingAt: Long? = null
        private set
    var goneAt = Long.MAX_VALUE
        private set
    private var busyUntil = 0.0
    private val streamEnds = PriorityQueue<Double>()
    private val cached = LinkedHashMap<String, Int>(16, 0.75f, true)

    fun leave(
        now: Long,
        notice: Long,
    ) {
        leavingAt = now
        goneAt = now + notice
    }

    fun running(now: Double): Int {
        while (streamEnds.isNotEmpty() && streamEnds.peek() <= now) streamEnds.remove()
        return streamEnds.size
    }

    fun prefillEnd(
        prompt: Prompt,
        now: Double,
    ): Double = maxOf(now, busyUntil) + tokens(prompt) / TOKENS_PER_MILLISECOND

    fun tokens(prompt: Prompt): Int =
        prompt.kind.ownTokens + if (prompt.sharedPart in cached) 0 else prompt.kind.sharedTokens

    /** Returns the time of the first event. */
    fun run(
        prompt: Prompt,
        now: Double,
    ): Double {
        val step = STEP_MILLISECONDS + STEP_MILLISECONDS_PER_STREAM * (running(now) + 1)
        busyUntil = prefillEnd(prompt, now)
        cached[prompt.sharedPart] = prompt.kind.sharedTokens
        while (cached.values.sum() > CACHED_TOKENS) cached.remove(cached.keys.first())
        streamEnds += busyUntil + prompt.kind.events * TOKENS_PER_EVENT * step
        return busyUntil + TOKENS_PER_EVENT * step
    }

    companion object {
        const val SLOTS = 64
        const val TOKENS_PER_MILLISECOND = 51.0
        private const val STEP_MILLISECONDS = 5.0
        private const val STEP_MILLISECONDS_PER_STREAM = 0.03
        private const val TOKENS_PER_EVENT = 4
        private const val CACHED_TOKENS = 120_000
    }
}

/** What prompts of a class have in common. */
internal class PromptKind(
    val name: String,
    val tier: Int,
    val sharedTokens: Int,
    val ownTokens: Int,
    val events: Int,
    val firstEvent: Long,
)

internal class Prompt(
    val kind: PromptKind,
    val sharedPart: String,
    val arrival: Long,
)
