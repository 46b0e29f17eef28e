package hawthorncrank.scheduling.internal

import hawthorncrank.protocol.Organisation
import hawthorncrank.scheduling.RefusalReason
import kotlin.math.ceil

/**
 * What an organisation has used of its limits at this entry: requests accepted and not ended, and two token buckets,
 * each with a capacity of one second's allowance. The bucket for generated tokens is charged after generation, so it
 * may be negative.
 */
internal data class OrganisationLimits(
    val active: Int = 0,
    private val requestBudget: Double,
    private val tokenBudget: Double,
    private val at: Long,
) {
    /** The limit that one more request would exceed now, with the milliseconds until it would be accepted, or null. */
    fun exceeded(
        organisation: Organisation,
        now: Long,
    ): Pair<RefusalReason.Limit, Long>? {
        val current = refilled(organisation, now)
        return when {
            active >= organisation.requestsInFlight ->
                RefusalReason.Limit("requests_in_flight") to IN_FLIGHT_RETRY_MILLISECONDS
            current.requestBudget < 1.0 ->
                RefusalReason.Limit("requests_per_second") to
                    timeFor(1.0 - current.requestBudget, organisation.requestsPerSecond)
            current.tokenBudget < 0.0 ->
                RefusalReason.Limit("tokens_per_second") to
                    timeFor(-current.tokenBudget, organisation.tokensPerSecond)
            else -> null
        }
    }

    fun accepted(
        organisation: Organisation,
        now: Long,
    ): OrganisationLimits {
        val current = refilled(organisation, now)
        return current.copy(active = active + 1, requestBudget = current.requestBudget - 1.0)
    }

    fun generated(
        organisation: Organisation,
        tokens: Int,
        now: Long,
    ): OrganisationLimits {
        val current = refilled(organisation, now)
        return current.copy(tokenBudget = current.tokenBudget - tokens)
    }

    fun ended(): OrganisationLimits = copy(active = active - 1)

    /** Whether this object could be replaced by a [fresh] one without changing any decision. */
    fun isFresh(
        organisation: Organisation,
        now: Long,
    ): Boolean {
        val current = refilled(organisation, now)
        return active == 0 &&
            current.requestBudget >= organisation.requestsPerSecond &&
            current.tokenBudget >= organisation.tokensPerSecond
    }

    private fun refilled(
        organisation: Organisation,
        now: Long,
    ): OrganisationLimits {
        val seconds = (now - at).coerceAtLeast(0) / MILLISECONDS_PER_SECOND
        val requests = organisation.requestsPerSecond.toDouble()
        val tokens = organisation.tokensPerSecond.toDouble()
        return copy(
            requestBudget = (requestBudget + seconds * requests).coerceAtMost(requests),
            tokenBudget = (tokenBudget + seconds * tokens).coerceAtMost(tokens),
            at = maxOf(at, now),
        )
    }

    companion object {
        fun fresh(
            organisation: Organisation,
            now: Long,
        ) = OrganisationLimits(
            0,
            organisation.requestsPerSecond.toDouble(),
            organisation.tokensPerSecond.toDouble(),
            now,
        )

        private fun timeFor(
            missing: Double,
            perSecond: Int,
        ): Long = ceil(missing * MILLISECONDS_PER_SECOND / perSecond.coerceAtLeast(1)).toLong().coerceAtLeast(1)

        private const val MILLISECONDS_PER_SECOND = 1_000.0
        private const val IN_FLIGHT_RETRY_MILLISECONDS = 1_000L
    }
}
