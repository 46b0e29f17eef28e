package hawthorncrank.capacity.internal

/**
 * How long work takes on an engine of usual speed: a weighted sum of its [WorkSample.quantities]. The weights are
 * estimated, because they differ between models and engines.
 */
internal class WorkModel private constructor(
    private val weights: DoubleArray,
) {
    fun milliseconds(sample: WorkSample): Double =
        sample.quantities.indices
            .sumOf { milliseconds(sample, it) }
            .coerceAtLeast(SHORTEST)

    /** The share of the time that was not spent on prompts. */
    fun generatingShare(sample: WorkSample): Double =
        1 - milliseconds(sample, WorkSample.PROMPT_TOKENS) / milliseconds(sample)

    private fun milliseconds(
        sample: WorkSample,
        quantity: Int,
    ) = weights[quantity] * sample.quantities[quantity]

    companion object {
        private const val SWEEPS = 30

        /** Milliseconds. Times are divided by this, also while all weights are 0. */
        private const val SHORTEST = 1e-3

        /**
         * Least squares with weights that are not negative, by coordinate descent on the normal equations. [samples] has the
         * samples of each engine with how many times as long it takes.
         */
        fun fit(samples: List<Pair<List<WorkSample>, Double>>): WorkModel {
            val equations = Equations()
            for ((ofEngine, slowdown) in samples) {
                ofEngine.forEach { equations.add(it.quantities, it.milliseconds / slowdown) }
            }
            return WorkModel(equations.solve())
        }
    }

    private class Equations {
        private val products = Array(WorkSample.QUANTITIES) { DoubleArray(WorkSample.QUANTITIES) }
        private val targets = DoubleArray(WorkSample.QUANTITIES)

        fun add(
            quantities: DoubleArray,
            milliseconds: Double,
        ) {
            for (row in quantities.indices) {
                targets[row] += quantities[row] * milliseconds
                for (column in quantities.indices) products[row][column] += quantities[row] * quantities[column]
            }
        }

        fun solve(): DoubleArray {
            val weights = DoubleArray(targets.size)
            repeat(SWEEPS) {
                for (row in weights.indices) {
                    if (products[row][row] == 0.0) continue
                    val others = weights.indices.sumOf { if (it == row) 0.0 else products[row][it] * weights[it] }
                    weights[row] = maxOf(0.0, (targets[row] - others) / products[row][row])
                }
            }
            return weights
        }
    }
}
