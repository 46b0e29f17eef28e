package hawthorncrank.entry.internal

import java.util.concurrent.ConcurrentHashMap

/** Bounds the values of a metric label: the first [limit] keep their names, all others count together as "other". */
internal class LabelBound(
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
