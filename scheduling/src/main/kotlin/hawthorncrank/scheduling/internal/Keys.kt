package hawthorncrank.scheduling.internal

import hawthorncrank.scheduling.QueuedWork

/** Sort key of a request within its organisation's queue: by arrival, then by number. */
internal data class WorkKey(
    val arrival: Long,
    val requestNumber: Long,
) : Comparable<WorkKey> {
    override fun compareTo(other: WorkKey): Int =
        if (arrival != other.arrival) arrival.compareTo(other.arrival) else requestNumber.compareTo(other.requestNumber)
}

internal val QueuedWork.key: WorkKey
    get() = WorkKey(arrival, requestNumber)

/** Sort key of an organisation in one of the orders of a lane: a position, then its oldest request. */
internal data class OrganisationKey(
    val position: Double,
    val oldest: WorkKey,
    val organisation: String,
) : Comparable<OrganisationKey> {
    override fun compareTo(other: OrganisationKey): Int {
        if (position != other.position) return position.compareTo(other.position)
        val order = oldest.compareTo(other.oldest)
        return if (order != 0) order else organisation.compareTo(other.organisation)
    }
}

/** Sort key of a started request for preemption: the lowest tier first, then the latest start, which wastes least. */
internal data class VictimKey(
    val tier: Int,
    val startedAt: Long,
    val requestNumber: Long,
) : Comparable<VictimKey> {
    override fun compareTo(other: VictimKey): Int =
        when {
            tier != other.tier -> other.tier.compareTo(tier)
            startedAt != other.startedAt -> other.startedAt.compareTo(startedAt)
            else -> other.requestNumber.compareTo(requestNumber)
        }
}
