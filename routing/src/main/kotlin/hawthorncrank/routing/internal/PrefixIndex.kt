package hawthorncrank.routing.internal

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlin.math.pow

/**
 * Records which engines hold which prompt-prefix blocks. Two generations bound its size: blocks are written and renewed
 * in the young one, and when that is full it replaces the old one, so blocks that were not used for a generation are
 * dropped.
 */
internal data class PrefixIndex(
    private val capacity: Int = CAPACITY,
    private val young: PersistentMap<Long, List<CacheState>> = persistentHashMapOf(),
    private val old: PersistentMap<Long, List<CacheState>> = persistentHashMapOf(),
) {
    val size: Int
        get() = young.size + old.size

    fun add(
        blocks: List<Long>,
        owner: CacheState,
    ): PrefixIndex {
        var index = this
        for (block in blocks.take(MAXIMUM_BLOCKS)) {
            val owners = listOf(owner) + index.owners(block).filter { it.upstream != owner.upstream }
            index = index.write(block, owners.take(OWNERS_PER_BLOCK))
        }
        return index
    }

    fun remove(
        blocks: List<Long>,
        upstream: String,
    ): PrefixIndex {
        var index = this
        for (block in blocks) {
            val owners = index.owners(block)
            if (owners.none { it.upstream == upstream }) continue
            index = index.write(block, owners.filter { it.upstream != upstream })
        }
        return index
    }

    /**
     * The fraction of the request's blocks that each engine holds, multiplied by the confidence in the engine's
     * records. Only the longest matches are of use, so the search ends once enough engines are found.
     */
    fun matches(
        blocks: List<Long>,
        current: (String) -> CacheState?,
    ): Map<String, Double> {
        if (blocks.isEmpty()) return emptyMap()
        val bounded = if (blocks.size > MAXIMUM_BLOCKS) blocks.subList(0, MAXIMUM_BLOCKS) else blocks
        val found = LinkedHashMap<String, Double>()
        for (position in bounded.indices.reversed()) {
            for (owner in owners(bounded[position])) {
                if (owner.upstream in found) continue
                val confidence = owner.confidence(current(owner.upstream) ?: continue)
                if (confidence >= MINIMUM_CONFIDENCE) found[owner.upstream] = confidence * (position + 1) / bounded.size
            }
            if (found.size >= ENOUGH_MATCHES) break
        }
        return found
    }

    private fun owners(block: Long): List<CacheState> = young[block] ?: old[block] ?: emptyList()

    private fun write(
        block: Long,
        owners: List<CacheState>,
    ): PrefixIndex {
        if (owners.isEmpty()) return copy(young = young.remove(block), old = old.remove(block))
        val next = copy(young = young.put(block, owners), old = old.remove(block))
        return if (next.young.size > capacity / 2) copy(young = persistentHashMapOf(), old = next.young) else next
    }

    private companion object {
        const val CAPACITY = 50_000
        const val MAXIMUM_BLOCKS = 32
        const val OWNERS_PER_BLOCK = 4
        const val ENOUGH_MATCHES = 2

        /** Three gaps after a block was recorded, its record no longer counts. */
        const val MINIMUM_CONFIDENCE = 0.2
    }
}

/**
 * The position in the sequence of an engine's cache events and the number of gaps in it so far. Blocks are recorded
 * with the state at that time; each gap since then halves the confidence in the record.
 */
internal class CacheState(
    val upstream: String,
    private val sequence: Long? = null,
    private val gaps: Int = 0,
) {
    fun follow(next: Long): CacheState {
        val expected = sequence?.plus(1)
        if (expected == null || next == expected) return CacheState(upstream, next, gaps)
        return CacheState(upstream, next, gaps + 1)
    }

    fun confidence(current: CacheState): Double = 0.5.pow(current.gaps - gaps)
}
