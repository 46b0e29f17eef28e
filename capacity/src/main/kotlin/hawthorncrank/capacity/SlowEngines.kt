package hawthorncrank.capacity

import kotlin.math.roundToInt

/**
 * The engines on which urgent streams are to be avoided, with the time they need for the same work relative to the faster
 * ones in steps of a quarter. [estimated] are the present estimates and [before] what was decided last. That holds while an
 * engine is slow at all, and for engines that are not estimated now, because each change moves work to other engines.
 */
fun slowEngines(
    estimated: Map<String, Double>,
    before: Map<String, Double>,
): Map<String, Double> {
    val kept = before.filterKeys { name -> estimated[name]?.let { it >= NO_LONGER_SLOW } ?: true }
    val found = estimated.filter { (name, slowdown) -> name !in kept && slowdown >= SLOW }
    return kept + found.mapValues { (_, slowdown) -> (slowdown.coerceAtMost(LARGEST) / STEP).roundToInt() * STEP }
}

/** Spells and the mix of work on engines of even speed move their estimates by less. */
private const val SLOW = 1.7
private const val NO_LONGER_SLOW = 1.4

/** Entries notice by themselves that an engine takes still longer. */
private const val LARGEST = 3.0
private const val STEP = 0.25
