package hawthorncrank.capacity

import hawthorncrank.capacity.internal.WorkModel
import hawthorncrank.capacity.internal.WorkSample
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlin.math.roundToInt

/**
 * Estimates how fast the engines of one service are relative to each other, from their reports. The load that this answers:
 * engines of uneven speed, on which urgent streams are late, at callers who each see few of an engine's streams.
 *
 * The time between events alone does not show the speed: an engine that is full, or that reads prompts between the tokens,
 * takes several times as long. The work between two reports is known, so its time is compared with that of equal work on
 * the other engines.
 */
class EngineSpeeds private constructor(
    private val engines: PersistentMap<String, Observed>,
) {
    constructor() : this(persistentMapOf())

    fun reported(
        engine: String,
        report: EngineReport,
    ): EngineSpeeds {
        val known = engines[engine] ?: Observed()
        return EngineSpeeds(engines.put(engine, known.next(report)))
    }

    /** Forgets all other engines. One that restarted may be another machine, so it is to be left out as well. */
    fun retain(names: Set<String>): EngineSpeeds {
        val gone = engines.keys - names
        return if (gone.isEmpty()) this else EngineSpeeds(gone.fold(engines) { map, name -> map.remove(name) })
    }

    /** Whether so much work of the engine was seen that more would change its estimate little. */
    fun isKnown(engine: String): Boolean = (engines[engine]?.samples?.size ?: 0) >= COMPARED_SAMPLES

    /**
     * How many times as long as one of the faster engines those engines take that are known. Empty while too few are known
     * to compare them.
     *
     * Samples that were mostly prompts count for the model only, because reports do not tell how much of these the engine held
     * in its cache.
     */
    fun slowdowns(): Map<String, Double> {
        val samples = engines.filterValues { it.samples.size >= ENOUGH_SAMPLES }.mapValues { it.value.samples }
        if (samples.size < LEAST_ENGINES) return emptyMap()
        var slowdowns = samples.mapValues { 1.0 }
        repeat(ROUNDS) {
            val model = fit(samples, slowdowns)
            slowdowns = relative(samples.mapValues { (_, ofEngine) -> slowdown(ofEngine, model) })
        }
        val model = fit(samples, slowdowns)
        val compared =
            samples
                .mapValues { (_, ofEngine) -> ofEngine.filter { model.generatingShare(it) >= LEAST_GENERATING_SHARE } }
                .filterValues { it.size >= ENOUGH_SAMPLES }
        val working = engines.count { it.value.samples.isNotEmpty() }
        if (compared.size < maxOf(LEAST_ENGINES.toDouble(), working * LEAST_SHARE)) return emptyMap()
        return relative(compared.mapValues { (_, ofEngine) -> slowdown(ofEngine.takeLast(COMPARED_SAMPLES), model) })
    }

    private fun fit(
        samples: Map<String, List<WorkSample>>,
        slowdowns: Map<String, Double>,
    ): WorkModel = WorkModel.fit(samples.map { (name, ofEngine) -> ofEngine to slowdowns.getValue(name) })

    private fun relative(slowdowns: Map<String, Double>): Map<String, Double> {
        val usual = quantile(slowdowns.values, USUAL)
        return slowdowns.mapValues { it.value / usual }
    }

    /**
     * A low quantile, because spells in which an engine is slow, and prompts of which it held less than usual, only make samples
     * longer.
     */
    private fun slowdown(
        samples: List<WorkSample>,
        model: WorkModel,
    ): Double = quantile(samples.map { it.milliseconds / model.milliseconds(it) }, LOW)

    private fun quantile(
        values: Collection<Double>,
        share: Double,
    ): Double = values.sorted()[((values.size - 1) * share).roundToInt()]

    private class Observed(
        private val last: EngineReport? = null,
        val samples: PersistentList<WorkSample> = persistentListOf(),
    ) {
        fun next(report: EngineReport): Observed {
            val work = last?.let { WorkSample.between(it, report) } ?: return Observed(report, samples)
            val recent = if (samples.size < KEPT_SAMPLES) samples else samples.removeAt(0)
            return Observed(report, recent.add(work))
        }
    }

    private companion object {
        const val ENOUGH_SAMPLES = 3
        const val COMPARED_SAMPLES = 9
        const val KEPT_SAMPLES = 20

        /** Below this, engines that read prompts are taken for slow in overloads, as missing cached parts look like slowness. */
        const val LEAST_GENERATING_SHARE = 0.7
        const val LOW = 0.3

        /** Most engines may be slow, and a single fast one does not make the others slow. */
        const val USUAL = 0.2

        /** With two engines, nothing tells which of them is the usual one. */
        const val LEAST_ENGINES = 3

        /** With fewer of the engines that work, the faster ones of those that are known may be slow ones. */
        const val LEAST_SHARE = 0.6

        /** Weights and slowdowns are estimated in turn; they hardly change after that. */
        const val ROUNDS = 6
    }
}
