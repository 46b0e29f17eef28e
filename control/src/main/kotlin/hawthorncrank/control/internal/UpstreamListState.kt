package hawthorncrank.control.internal

import hawthorncrank.protocol.ListedUpstream
import hawthorncrank.protocol.revision

/**
 * The platform's list of upstreams as this replica last read it, for the entries that are linked to it. [readAt] is when
 * that reading began, [askedAt] when the last one began and [reading] whether it goes on; [wantedAt] is when an entry last
 * asked for the list. Entries get it as [sent], with the [slowdowns] of engines, or as [sentWithoutSoftware] if they cannot
 * read versions of software.
 */
internal data class UpstreamListState(
    val upstreams: List<ListedUpstream> = emptyList(),
    val slowdowns: Map<String, Double> = emptyMap(),
    val sent: List<ListedUpstream> = emptyList(),
    val revision: Long = emptyList<ListedUpstream>().revision(),
    val sentWithoutSoftware: List<ListedUpstream> = emptyList(),
    val revisionWithoutSoftware: Long = emptyList<ListedUpstream>().revision(),
    val readAt: Long? = null,
    val askedAt: Long? = null,
    val reading: Boolean = false,
    val wantedAt: Long? = null,
) {
    fun read(
        listed: List<ListedUpstream>,
        at: Long,
    ): UpstreamListState {
        val read = copy(readAt = at)
        return if (listed == upstreams) read else read.copy(upstreams = listed).withSent()
    }

    fun with(slowdowns: Map<String, Double>): UpstreamListState =
        if (slowdowns == this.slowdowns) this else copy(slowdowns = slowdowns).withSent()

    /** While no engine is slow, the list is sent as the platform gives it. */
    private fun withSent(): UpstreamListState {
        val all = if (slowdowns.isEmpty()) upstreams else upstreams.map(::withSlowdown)
        val plain = all.map { it.copy(software = null) }
        return copy(
            sent = all,
            revision = all.revision(),
            sentWithoutSoftware = plain,
            revisionWithoutSoftware = plain.revision(),
        )
    }

    private fun withSlowdown(upstream: ListedUpstream) = upstream.copy(slowdown = slowdowns[upstream.name] ?: 1.0)
}
