package hawthorncrank.routing.internal

import kotlin.math.pow

/** The share of an observation's weight that remains after [age], given the time in which it is halved. */
internal fun remainingShare(
    age: Long,
    halfLife: Double,
): Double = 0.5.pow(age.coerceAtLeast(0) / halfLife)
