package hawthorncrank.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.nio.ByteBuffer
import java.security.MessageDigest

/**
 * An upstream as the platform lists it. [service] is the service that it runs. While [leaving] it gets no new work. The
 * platform may take a [reclaimable] one away. An engine that is slower than others of its service takes [slowdown] times as
 * long for the same work, as control replicas found; 1 if it does not, and null if the list does not tell. [software] is the
 * version of its software, or null if the list does not tell.
 */
@Serializable
data class ListedUpstream(
    val name: String,
    val service: String,
    val address: String,
    @SerialName("availability_zone")
    val availabilityZone: String,
    val slots: Int,
    val leaving: Boolean,
    val reclaimable: Boolean = false,
    val slowdown: Double? = null,
    val software: String? = null,
) {
    /** The part of [revision] that describes this upstream, unchanged from builds that don't know the optional properties. */
    internal fun described(): String {
        val text =
            "ListedUpstream(name=$name, service=$service, address=$address, availabilityZone=$availabilityZone, " +
                "slots=$slots, leaving=$leaving"
        val reclaimed = if (reclaimable) ", reclaimable=true" else ""
        val slowed = slowdown?.let { ", slowdown=$it" }.orEmpty()
        val versioned = software?.let { ", software=$it" }.orEmpty()
        return "$text$reclaimed$slowed$versioned)"
    }
}

/** A number that is the same for equal lists on all machines, and otherwise differs but for a negligible chance. */
fun List<ListedUpstream>.revision(): Long {
    val digest = MessageDigest.getInstance("SHA-256")
    forEach { digest.update("${it.described()}\n".toByteArray()) }
    return ByteBuffer.wrap(digest.digest()).getLong()
}
