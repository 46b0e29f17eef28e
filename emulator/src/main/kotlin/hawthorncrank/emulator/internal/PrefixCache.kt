package hawthorncrank.emulator.internal

import java.nio.ByteBuffer
import java.security.MessageDigest

/**
 * The engine's cache of prompt prefixes, least recently used first out, with the events that it publishes. Every
 * [gapEvery]th event is lost. Used from the engine's thread only.
 */
internal class PrefixCache(
    private val capacity: Int,
    private val gapEvery: Int,
) {
    private val blocks = LinkedHashMap<Long, Unit>(capacity, 0.75f, true)
    private val eventLog = ArrayDeque<CacheEvent>()
    private var sequence = 0L

    /** Stores the blocks of a prompt and returns how many of its leading blocks were cached already. */
    fun use(
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
        if (gapEvery > 0 && sequence % gapEvery == 0L) return
        eventLog.addLast(CacheEvent(sequence, stored, evicted, now))
        if (eventLog.size > KEPT_EVENTS) eventLog.removeFirst()
    }

    private companion object {
        const val KEPT_EVENTS = 1_000
    }
}

internal data class CacheEvent(
    val sequence: Long,
    val stored: List<Long>,
    val evicted: List<Long>,
    val time: Long,
)

/**
 * Digests of the growing prefix of a prompt, one per whole block of 16 KiB, at most 32: the first 8 bytes of SHA-256
 * over the digest so far and the block, starting with the SHA-256 of the model's name.
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
