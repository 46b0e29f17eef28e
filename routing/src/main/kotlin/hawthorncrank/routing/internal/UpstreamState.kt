package hawthorncrank.routing.internal

import hawthorncrank.protocol.Upstream
import hawthorncrank.routing.RoutedAttempt
import hawthorncrank.routing.UpstreamLoad
import hawthorncrank.scheduling.CapacityKind
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList

/**
 * One upstream with this entry's own work there, and what is known of it by [observations]. [shared] counts the entry's own
 * attempts on shared capacity by tier, and [floor] those on the floors of classes. [pendingPrefillTokens] counts the prompt
 * tokens of its attempts that the upstream has not processed yet.
 */
internal data class UpstreamState(
    val settings: Upstream,
    val distance: Distance,
    val eligible: Boolean = true,
    val shared: PersistentList<Int> = NO_ATTEMPTS,
    val floor: Int = 0,
    val suspects: Int = 0,
    val pendingPrefillTokens: Int = 0,
    val cache: CacheState = CacheState(settings.name),
    val observations: UpstreamObservations = UpstreamObservations(),
) {
    val usable: Boolean
        get() = eligible && !settings.leaving

    val slots: Int
        get() = (observations.report?.slots ?: settings.slots).coerceAtLeast(1)

    val ownAttempts: Int
        get() = shared.sum() + floor

    /** Own attempts on shared capacity of [tier] and the tiers above it (rule R2). */
    fun sharedUpTo(tier: Int): Int {
        var sum = 0
        for (index in 0..tierIndex(tier)) sum += shared[index]
        return sum
    }

    fun started(
        attempt: RoutedAttempt,
        prefillTokens: Int,
    ): UpstreamState = counted(attempt, 1).copy(pendingPrefillTokens = pendingPrefillTokens + prefillTokens)

    /** Removes the prompt of the attempt from the pending prefill. */
    fun prefillEnded(running: RunningAttempt): UpstreamState =
        copy(pendingPrefillTokens = (pendingPrefillTokens - running.prefillTokens).coerceAtLeast(0))

    fun ended(attempt: RoutedAttempt): UpstreamState = counted(attempt, -1)

    private fun counted(
        attempt: RoutedAttempt,
        change: Int,
    ): UpstreamState {
        val suspected = if (attempt.suspect) suspects + change else suspects
        if (attempt.capacity == CapacityKind.FLOOR) return copy(floor = floor + change, suspects = suspected)
        val index = tierIndex(attempt.tier)
        return copy(shared = shared.set(index, shared[index] + change), suspects = suspected)
    }

    fun observe(
        load: UpstreamLoad,
        now: Long,
    ): UpstreamState {
        val observed = observations.reported(load, ownAttempts, now)
        return if (observed === observations) this else copy(observations = observed)
    }

    companion object {
        /** All tiers from this one down share one count; the planned deployment has five tiers. */
        private const val TIERS = 8
        private val NO_ATTEMPTS: PersistentList<Int> = List(TIERS) { 0 }.toPersistentList()

        private fun tierIndex(tier: Int): Int = (tier - 1).coerceIn(0, TIERS - 1)
    }
}

/** How far an upstream is from this entry. */
internal enum class Distance { ZONE, REGION, OTHER_REGION }
