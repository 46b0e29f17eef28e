package hawthorncrank.protocol

/**
 * The [upstreams] in one reading of the platform's list, [at] a time in milliseconds. It is whole if each element of the list
 * could be read.
 */
class UpstreamReading(
    val upstreams: List<ListedUpstream>,
    private val isWhole: Boolean,
    private val at: Long,
) {
    /**
     * The upstreams to use after the [last] reading. One that was in it and is missing in this one, which is not whole, may be
     * hidden, so it stays for this reading, unless another upstream has its address now.
     */
    fun upstreamsAfter(last: UpstreamReading?): List<ListedUpstream> {
        if (isWhole || last == null || at - last.at > LONGEST_HIDING_MILLISECONDS) return upstreams
        val names = upstreams.mapTo(HashSet()) { it.name }
        val addresses = upstreams.mapTo(HashSet()) { it.address }
        return upstreams + last.upstreams.filter { it.name !in names && it.address !in addresses }
    }
}

// The list is read once per second. An upstream that was last listed longer ago may have left.
private const val LONGEST_HIDING_MILLISECONDS = 3_000L
