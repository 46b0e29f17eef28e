package hawthorncrank.scheduling.internal

import kotlin.math.ceil

/** Estimates quantiles from the newest output lengths of a class or organisation, at most [CAPACITY] of them. */
internal class LengthSketch private constructor(
    private val samples: IntArray,
    private val next: Int,
) {
    val size: Int
        get() = samples.size

    fun add(tokens: Int): LengthSketch {
        if (samples.size < CAPACITY) return LengthSketch(samples + tokens, 0)
        val copy = samples.copyOf()
        copy[next] = tokens
        return LengthSketch(copy, (next + 1) % CAPACITY)
    }

    fun quantile(quantile: Double): Int? = quantileOf(samples.sortedArray(), quantile)

    /** The quantile of the lengths above [produced], which estimates the final length of a running stream. */
    fun quantileAbove(
        produced: Int,
        quantile: Double,
    ): Int? = quantileOf(samples.filter { it > produced }.sorted().toIntArray(), quantile)

    private fun quantileOf(
        sorted: IntArray,
        quantile: Double,
    ): Int? {
        if (sorted.isEmpty()) return null
        return sorted[(ceil(quantile * sorted.size).toInt() - 1).coerceIn(0, sorted.size - 1)]
    }

    companion object {
        const val CAPACITY = 64
        val EMPTY = LengthSketch(IntArray(0), 0)
    }
}
