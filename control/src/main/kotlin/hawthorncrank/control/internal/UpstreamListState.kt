package hawthorncrank.control.internal

import hawthorncrank.protocol.ListedUpstream
import hawthorncrank.protocol.revision

/**
 * The platform's list of upstreams as this replica last read it, for the entries that are linked to it. [readAt] is when
 * that reading began, [askedAt] when the last one began and [reading] whether it goes on; [wantedAt] is when an entry last
 * asked for the list.
 */
internal data class UpstreamListState(
    val upstreams: List<ListedUpstream> = emptyList(),
    val revision: Long = emptyList<ListedUpstream>().revision(),
    val readAt: Long? = null,
    val askedAt: Long? = null,
    val reading: Boolean = false,
    val wantedAt: Long? = null,
) {
    fun read(
        listed: List<ListedUpstream>,
        at: Long,
    ): UpstreamListState =
        if (listed == upstreams) {
            copy(readAt = at)
        } else {
            copy(upstreams = listed, revision = listed.revision(), readAt = at)
        }
}
