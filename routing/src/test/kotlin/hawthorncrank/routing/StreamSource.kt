package hawthorncrank.routing

import java.util.SplittableRandom
import kotlin.math.exp

/** Draws the streams of a load. Sizes differ from request to request: few are several times the average. */
internal class StreamSource(
    private val load: PromptLoad,
    private val random: SplittableRandom,
) {
    fun draw(
        kind: StreamKind,
        number: Long,
        entry: Int,
        now: Double,
    ): SimulatedStream {
        val kindNumber = load.kinds.indexOf(kind).toLong()
        val part = kindNumber * 1_000 + random.nextInt(load.sharedParts)
        val drawn =
            kind.copy(
                sharedTokens = vary(kind.sharedTokens, load.partSizeDeviation, SplittableRandom(part)),
                ownTokens = vary(kind.ownTokens),
                events = vary(kind.events, largest = load.longestAnswer),
            )
        val rare = random.nextDouble() < load.rareTierShare
        return SimulatedStream(number * load.kinds.size + kindNumber, drawn, entry, part, now, rare)
    }

    private fun vary(
        mean: Int,
        deviation: Double = SIZE_DEVIATION,
        source: SplittableRandom = random,
        largest: Double = LARGEST,
    ): Int =
        (mean * exp(deviation * source.nextGaussian() - deviation * deviation / 2))
            .coerceIn(mean * SMALLEST, mean * largest)
            .toInt()
            .coerceAtLeast(1)

    private companion object {
        const val SIZE_DEVIATION = 0.7
        const val SMALLEST = 0.1
        const val LARGEST = 5.0
    }
}
