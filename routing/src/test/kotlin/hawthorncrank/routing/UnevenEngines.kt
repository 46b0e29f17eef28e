package hawthorncrank.routing

import java.util.SplittableRandom
import kotlin.math.ln

/**
 * The pace of engines of different speed. Each has spells in which its work takes longer. The lengths of the spells and of
 * the times between them are distributed exponentially.
 */
internal class UnevenEngines(
    private val slow: Set<String>,
    private val seed: Long,
) {
    fun pace(name: String): EnginePace {
        val speed = if (name in slow) SLOW else FAST
        val spells = Spells(SplittableRandom(seed xor name.hashCode().toLong()))
        return EnginePace { now, work -> spells.duration(now, work / speed) }
    }

    private class Spells(
        private val random: SplittableRandom,
    ) {
        private var begins = drawn(CYCLE * (1 - SHARE))
        private var ends = begins + drawn(CYCLE * SHARE)

        fun duration(
            now: Double,
            work: Double,
        ): Double {
            var at = now
            var left = work
            while (left > 0) {
                while (ends <= at) next()
                val inSpell = at >= begins
                val factor = if (inSpell) SLOWDOWN else 1.0
                val until = if (inSpell) ends else begins
                val done = minOf(left, (until - at) / factor)
                left -= done
                at = if (left > 0) until else at + done * factor
            }
            return at - now
        }

        private fun next() {
            begins = ends + drawn(CYCLE * (1 - SHARE))
            ends = begins + drawn(CYCLE * SHARE)
        }

        private fun drawn(mean: Double) = -ln(1 - random.nextDouble()) * mean
    }

    private companion object {
        const val SLOW = 0.55
        const val FAST = 1.2
        const val SLOWDOWN = 2.5
        const val CYCLE = 600.0
        const val SHARE = 0.15
    }
}
