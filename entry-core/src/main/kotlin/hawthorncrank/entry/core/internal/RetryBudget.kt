package hawthorncrank.entry.core.internal

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** Counts the successes and charged retries of each model or service per second, over the last 10 s. */
internal data class RetryBudget(
    private val targets: PersistentMap<String, PersistentMap<Long, Counts>> = persistentMapOf(),
) {
    fun allows(
        target: String,
        now: Long,
    ): Boolean {
        val recent = targets[target].orEmpty().filterKeys { it > now / SECOND_MILLISECONDS - WINDOW_SECONDS }.values
        val successes = recent.sumOf { it.successes }
        return recent.sumOf { it.retries } < successes * SHARE_PERCENT / 100 + BASE_RETRIES
    }

    fun succeeded(
        target: String,
        now: Long,
    ): RetryBudget = add(target, now, Counts(successes = 1))

    fun retried(
        target: String,
        now: Long,
    ): RetryBudget = add(target, now, Counts(retries = 1))

    /** Removes targets that are no longer configured. */
    fun retain(configured: Set<String>): RetryBudget =
        copy(targets = (targets.keys - configured).fold(targets) { map, key -> map.remove(key) })

    private fun add(
        target: String,
        now: Long,
        counts: Counts,
    ): RetryBudget {
        val second = now / SECOND_MILLISECONDS
        val seconds = targets[target] ?: persistentMapOf()
        val recent = seconds.keys.filter { it <= second - WINDOW_SECONDS }.fold(seconds) { map, key -> map.remove(key) }
        val sum = (recent[second] ?: Counts()) + counts
        return copy(targets = targets.put(target, recent.put(second, sum)))
    }

    data class Counts(
        val successes: Int = 0,
        val retries: Int = 0,
    ) {
        operator fun plus(other: Counts) = Counts(successes + other.successes, retries + other.retries)
    }

    private companion object {
        const val SECOND_MILLISECONDS = 1_000L
        const val WINDOW_SECONDS = 10L
        const val SHARE_PERCENT = 10
        const val BASE_RETRIES = 3
    }
}
