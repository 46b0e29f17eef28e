package hawthorncrank.intents

import hawthorncrank.protocol.Organisation
import hawthorncrank.protocol.TrafficClass
import kotlinx.serialization.Serializable

/**
 * The changes that an intent would make, for an operator to review and confirm. A plan applies to [baseVersion] only.
 * [number] is 0 until the control group records the plan.
 */
@Serializable
data class Plan(
    val number: Long,
    val baseVersion: Long,
    val words: String,
    val change: PlanChange,
    val difference: List<String>,
    val expectedEffect: List<String>,
    val costForOthers: List<String>,
    val end: PlanEnd? = null,
    val undoes: Long? = null,
) {
    /** The plan as lines to print. */
    fun lines(): List<String> =
        listOf("plan $number on version $baseVersion: $words") +
            difference.map { "  change: $it" } +
            expectedEffect.map { "  effect: $it" } +
            costForOthers.map { "  cost for others: $it" } +
            "  duration: ${end?.words ?: "until it is undone"}"
}

/** The values that a plan sets and the values before it, so that the plan can be undone. */
@Serializable
data class PlanChange(
    val classes: List<ClassChange> = emptyList(),
    val organisations: List<OrganisationChange> = emptyList(),
    val drains: List<DrainChange> = emptyList(),
)

@Serializable
data class ClassChange(
    val before: TrafficClass,
    val after: TrafficClass,
)

@Serializable
data class OrganisationChange(
    val before: Organisation,
    val after: Organisation,
)

@Serializable
data class DrainChange(
    val upstream: String,
    val draining: Boolean,
)

/** When a plan is undone automatically. */
@Serializable
sealed interface PlanEnd {
    val words: String

    /** The wall time at which a plan that was confirmed at [confirmedAt] is undone. */
    fun wallTime(confirmedAt: Long): Long

    @Serializable
    data class At(
        val wallTime: Long,
        override val words: String,
    ) : PlanEnd {
        override fun wallTime(confirmedAt: Long) = wallTime
    }

    @Serializable
    data class After(
        val milliseconds: Long,
        override val words: String,
    ) : PlanEnd {
        override fun wallTime(confirmedAt: Long) = confirmedAt + milliseconds
    }
}
