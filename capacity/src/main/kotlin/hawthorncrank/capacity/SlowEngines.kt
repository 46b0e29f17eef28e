package hawthorncrank.capacity

import kotlin.math.abs
import kotlin.math.roundToInt

/**
 * The engines on which urgent streams are to be avoided, with the time they need for the same work relative to the faster
 * ones in steps of a quarter. [estimated] are the present estimates and [before] what was decided last, which holds while
 * estimates vary a little and for engines that are not estimated now.
 *
 * An engine that takes more than [FAILING] times as long is not uneven but fails, which entries notice by themselves.
 */
fun slowEngines(
    estimated: Map<String, Double>,
    before: Map<String, Double>,
): Map<String, Double> {
    val kept = before.filter { (name, slowdown) -> estimated[name]?.let { isStillSlow(it, slowdown) } ?: true }
    val found = estimated.filter { (name, slowdown) -> name !in kept && slowdown in SLOW..FAILING }
    return kept + found.mapValues { (it.value / STEP).roundToInt() * STEP }
}

private fun isStillSlow(
    estimated: Double,
    before: Double,
): Boolean = estimated in NO_LONGER_SLOW..FAILING && abs(estimated - before) <= 2 * STEP

/** Spells and the mix of work on engines of even speed move their estimates by less. */
private const val SLOW = 1.7
private const val NO_LONGER_SLOW = 1.4
private const val FAILING = 3.0
private const val STEP = 0.25
