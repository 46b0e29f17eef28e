package hawthorncrank.emulator.internal

import java.nio.ByteBuffer
import java.security.MessageDigest

/**
 * The engine's least-recently-used cache of prompt prefixes, and the events that it publishes. Every [lossInterval]th
 * event is lost; 0 loses none. Not thread-safe: only the engine's thread may use it.
 */
internal class PrefixCache(
    private val capacity: Int,
    private val lossInterval: Int,
) {
    private val blocks = LinkedHashMap<Long, Unit>(capacity, 0.75f, true)
    private val eventLog = ArrayDeque<CacheEvent>()
    private var sequence = 0L

    /** Stores the blocks of a prompt and returns how many of its leading blocks were already cached. */
    fun store(
        prefix: List<Long>,
        now: Long,
    ): Int {
        val cached = prefix.takeWhile { it in blocks }.size
        val stored = prefix.filter { blocks.put(it, Unit) == null }
        val evicted = blocks.keys.take((blocks.size - capacity).coerceAtLeast(0))
        evicted.forEach { blocks.remove(it) }
        if (stored.isNotEmpty() || evicted.isNotEmpty()) publish(stored, evicted, now)
        return cached
    }

    fun events(
        after: Long,
        publishedBefore: Long,
    ): List<CacheEvent> = eventLog.filter { it.sequence > after && it.time <= publishedBefore }

    fun clear() {
        blocks.clear()
        eventLog.clear()
        sequence = 0
    }

    private fun publish(
        stored: List<Long>,
        evicted: List<Long>,
        now: Long,
    ) {
        sequence += 1
        if (lossInterval > 0 && sequence % lossInterval == 0L) return
        eventLog.addLast(CacheEvent(sequence, stored, evicted, now))
        if (eventLog.size > MAXIMUM_RETAINED_EVENTS) eventLog.removeFirst()
    }

    private companion object {
        const val MAXIMUM_RETAINED_EVENTS = 1_000
    }
}

internal data class CacheEvent(
    val sequence: Long,
    val stored: List<Long>,
    val evicted: List<Long>,
    val time: Long,
)

/**
 * Returns chained digests of a prompt's prefixes, one for each full block of 16 KiB, at most 32. Each is the first 8
 * bytes of the SHA-256 over the previous full digest and the block; the chain starts with the SHA-256 of the model's
 * name.
 */
internal fun prefixBlocks(
    model: String,
    prompt: ByteArray,
): List<Long> {
    var chain = MessageDigest.getInstance("SHA-256").digest(model.toByteArray())
    return (0 until minOf(prompt.size / PREFIX_BLOCK_BYTES, MAXIMUM_BLOCKS)).map { block ->
        val hash = MessageDigest.getInstance("SHA-256")
        hash.update(chain)
        hash.update(prompt, block * PREFIX_BLOCK_BYTES, PREFIX_BLOCK_BYTES)
        chain = hash.digest()
        ByteBuffer.wrap(chain).long
    }
}

internal const val PREFIX_BLOCK_BYTES = 16 * 1024
private const val MAXIMUM_BLOCKS = 32
