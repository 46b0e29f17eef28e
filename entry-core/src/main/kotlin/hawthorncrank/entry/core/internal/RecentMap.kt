package hawthorncrank.entry.core.internal

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** An immutable map of the newest [limit] keys. Adding a key beyond the limit evicts the oldest. */
internal data class RecentMap<Key, Value>(
    val limit: Int,
    private val values: PersistentMap<Key, Value> = persistentMapOf(),
    private val slots: PersistentMap<Int, Key> = persistentMapOf(),
    private val nextSlot: Int = 0,
) {
    val size: Int
        get() = values.size

    val entries: Map<Key, Value>
        get() = values

    operator fun get(key: Key): Value? = values[key]

    operator fun contains(key: Key): Boolean = key in values

    fun put(
        key: Key,
        value: Value,
    ): RecentMap<Key, Value> {
        if (key in values) return copy(values = values.put(key, value))
        val evicted = slots[nextSlot]
        val kept = if (evicted == null) values else values.remove(evicted)
        return copy(
            values = kept.put(key, value),
            slots = slots.put(nextSlot, key),
            nextSlot = (nextSlot + 1) % limit,
        )
    }

    /** The key keeps its slot in the ring until the slot is reused. */
    fun remove(key: Key): RecentMap<Key, Value> = copy(values = values.remove(key))
}
