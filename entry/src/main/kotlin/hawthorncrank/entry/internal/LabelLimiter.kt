package hawthorncrank.entry.internal

import java.util.concurrent.ConcurrentHashMap

/** Limits the number of values of a metric label: the first [limit] values are kept, all others become "other". */
internal class LabelLimiter(
    private val limit: Int,
) {
    private val named = ConcurrentHashMap.newKeySet<String>()

    fun label(value: String): String {
        if (value in named) return value
        synchronized(named) {
            if (named.size >= limit) return OTHER
            named += value
        }
        return value
    }

    companion object {
        const val OTHER = "other"
    }
}
