package hawthorncrank.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.nio.ByteBuffer
import java.security.MessageDigest

/** An upstream as the platform lists it. [service] is the service that it runs. While [leaving] it gets no new work. */
@Serializable
data class ListedUpstream(
    val name: String,
    val service: String,
    val address: String,
    @SerialName("availability_zone")
    val availabilityZone: String,
    val slots: Int,
    val leaving: Boolean,
)

/** A number that is the same for equal lists on all machines, and otherwise differs but for a negligible chance. */
fun List<ListedUpstream>.revision(): Long {
    val digest = MessageDigest.getInstance("SHA-256")
    forEach { digest.update("$it\n".toByteArray()) }
    return ByteBuffer.wrap(digest.digest()).getLong()
}
