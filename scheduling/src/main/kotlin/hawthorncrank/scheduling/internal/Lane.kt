package hawthorncrank.scheduling.internal

import hawthorncrank.scheduling.QueuedWork
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

/**
 * The queue of one class for one target. Organisations are kept in three orders: by tokens served (rule R1), by waiting
 * time (rule R5) and by queue length, which decides whose newest request is shed first. A change moves one organisation
 * in each order, so its cost is logarithmic in the number of organisations that wait.
 */
internal data class Lane(
    private val organisations: PersistentMap<String, LaneMember> = persistentHashMapOf(),
    private val byVirtualTime: OrderedMap<OrganisationKey, String> = OrderedMap.empty(),
    private val byWait: OrderedMap<OrganisationKey, String> = OrderedMap.empty(),
    private val byLength: OrderedMap<OrganisationKey, String> = OrderedMap.empty(),
    val requests: Int = 0,
    val lastStart: Long? = null,
    private val startInterval: Double? = null,
) {
    val isEmpty: Boolean
        get() = requests == 0

    /** The next request by rule R1. */
    fun next(): QueuedWork? = byVirtualTime.first()?.let { oldestOf(it.value) }

    /** Requests in the order of rule R1, at most [perOrganisation] of each organisation. */
    fun candidates(perOrganisation: Int): Sequence<QueuedWork> =
        byVirtualTime.entries().flatMap { (_, name) ->
            organisations
                .getValue(name)
                .work
                .entries()
                .take(perOrganisation)
                .map { it.value }
        }

    /** The oldest request of each organisation, longest-waiting first, with the time when its wait began (rule R5). */
    fun byWait(): Sequence<Pair<Long, QueuedWork>> =
        byWait.entries().map { it.key.position.toLong() to oldestOf(it.value)!! }

    /** The newest request of the organisation with the longest queue relative to its weight. */
    fun firstToShed(): QueuedWork? =
        byLength.last()?.let {
            organisations
                .getValue(it.value)
                .work
                .last()
                ?.value
        }

    /** The length of the organisation's queue that is longest relative to its weight, divided by this weight. */
    fun longestWeightedQueue(): Double = byLength.last()?.key?.position ?: 0.0

    fun queueLengthOf(organisation: String): Int = organisations[organisation]?.work?.size ?: 0

    fun add(
        work: QueuedWork,
        standing: Standing,
    ): Lane {
        val queue = organisations[work.organisation]?.work ?: OrderedMap.empty()
        return replace(work.organisation, queue.put(work.key, work), standing).copy(requests = requests + 1)
    }

    fun remove(
        work: QueuedWork,
        standing: Standing,
    ): Lane {
        val queue = organisations[work.organisation]?.work ?: return this
        return replace(work.organisation, queue.remove(work.key), standing).copy(requests = requests - 1)
    }

    /** Updates the organisation's position after its [standing] changed. */
    fun reorder(
        organisation: String,
        standing: Standing,
    ): Lane {
        val member = organisations[organisation] ?: return this
        return replace(organisation, member.work, standing)
    }

    /** The lane without its requests, to be filled again under another configuration. */
    fun emptied(): Lane = Lane(lastStart = lastStart, startInterval = startInterval)

    fun started(now: Long): Lane {
        val interval = lastStart?.let { (now - it).toDouble() }
        val average =
            when {
                interval == null -> startInterval
                startInterval == null -> interval
                else -> startInterval + (interval - startInterval) * INTERVAL_GAIN
            }
        return copy(lastStart = now, startInterval = average)
    }

    /** The expected wait in milliseconds of a request that is queued now, from the recent rate of starts. */
    fun predictedWait(now: Long): Long {
        val sinceStart = if (lastStart == null || isEmpty) 0.0 else (now - lastStart).toDouble()
        val interval = maxOf(startInterval ?: UNKNOWN_INTERVAL_MILLISECONDS, sinceStart)
        return (interval * (requests + 1)).toLong()
    }

    private fun oldestOf(organisation: String): QueuedWork? = organisations[organisation]?.work?.first()?.value

    private fun replace(
        organisation: String,
        queue: OrderedMap<WorkKey, QueuedWork>,
        standing: Standing,
    ): Lane {
        val before = organisations[organisation]
        var virtualTime = byVirtualTime
        var wait = byWait
        var length = byLength
        if (before != null) {
            virtualTime = virtualTime.remove(before.virtualTimeKey)
            wait = wait.remove(before.waitKey)
            length = length.remove(before.lengthKey)
        }
        val oldest =
            queue.first()?.value
                ?: return copy(
                    organisations = organisations.remove(organisation),
                    byVirtualTime = virtualTime,
                    byWait = wait,
                    byLength = length,
                )
        val waitsSince = maxOf(oldest.arrival, standing.lastStart)
        val member =
            LaneMember(
                queue,
                OrganisationKey(standing.virtualTime, oldest.key, organisation),
                OrganisationKey(waitsSince.toDouble(), oldest.key, organisation),
                OrganisationKey(queue.size / standing.weight, oldest.key, organisation),
            )
        return copy(
            organisations = organisations.put(organisation, member),
            byVirtualTime = virtualTime.put(member.virtualTimeKey, organisation),
            byWait = wait.put(member.waitKey, organisation),
            byLength = length.put(member.lengthKey, organisation),
        )
    }

    private companion object {
        const val INTERVAL_GAIN = 0.1
        const val UNKNOWN_INTERVAL_MILLISECONDS = 100.0
    }
}

/** An organisation's requests in a lane and its keys in the lane's orders. */
internal class LaneMember(
    val work: OrderedMap<WorkKey, QueuedWork>,
    val virtualTimeKey: OrganisationKey,
    val waitKey: OrganisationKey,
    val lengthKey: OrganisationKey,
)

/** The values that determine an organisation's position in a lane's orders. */
internal class Standing(
    val virtualTime: Double,
    val lastStart: Long,
    val weight: Double,
)
