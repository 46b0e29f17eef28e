package hawthorncrank.scheduling.internal

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

/** Output lengths by class, and by class and organisation once the organisation has enough samples of its own. */
internal data class LengthEstimates(
    private val classes: PersistentMap<String, LengthSketch> = persistentHashMapOf(),
    private val organisations: PersistentMap<ClassMember, LengthSketch> = persistentHashMapOf(),
) {
    fun add(
        member: ClassMember,
        tokens: Int,
    ): LengthEstimates =
        LengthEstimates(
            classes.put(member.className, (classes[member.className] ?: LengthSketch.EMPTY).add(tokens)),
            organisations.put(member, (organisations[member] ?: LengthSketch.EMPTY).add(tokens)),
        )

    /**
     * Counts an answer that was cut off after [produced] tokens. Without those, estimates would forget the longest answers
     * just when many of them are cut off. It counts as the median of the longer answers, or twice its length if there are none.
     */
    fun addCutOff(
        member: ClassMember,
        produced: Int,
    ): LengthEstimates {
        if (produced == 0) return this
        return add(member, sketch(member)?.quantileAbove(produced, MEDIAN) ?: (2 * produced))
    }

    fun quantile(
        member: ClassMember,
        quantile: Double,
    ): Int? = sketch(member)?.quantile(quantile)

    /** Tokens still to come after [produced]. A stream longer than all samples is expected to double in length. */
    fun remaining(
        member: ClassMember,
        produced: Int,
        quantile: Double,
    ): Int? {
        val sketch = sketch(member) ?: return null
        val total = sketch.quantileAbove(produced, quantile) ?: (2 * produced)
        return (total - produced).coerceAtLeast(1)
    }

    fun keepOrganisations(keep: (String) -> Boolean): LengthEstimates =
        copy(
            organisations =
                organisations.builder().apply { keys.removeAll { !keep(it.organisation) } }.build(),
        )

    private fun sketch(member: ClassMember): LengthSketch? {
        val own = organisations[member]
        if (own != null && own.size >= OWN_SAMPLES) return own
        return classes[member.className]
    }

    private companion object {
        /** With fewer samples of its own, an organisation is predicted better by the samples of its class. */
        const val OWN_SAMPLES = 16
        const val MEDIAN = 0.5
    }
}

/** An organisation within a class. */
internal data class ClassMember(
    val className: String,
    val organisation: String,
)
