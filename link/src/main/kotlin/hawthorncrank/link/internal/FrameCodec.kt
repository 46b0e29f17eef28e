package hawthorncrank.link.internal

import hawthorncrank.protocol.WireMessage
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import java.io.IOException
import java.nio.ByteBuffer
import java.security.MessageDigest
import javax.crypto.Mac

/**
 * Writes or reads the frames of one direction of a link; a frame consists of length, truncated MAC and CBOR payload.
 * The MAC covers a sequence number, so the link is closed if a frame was inserted, repeated, dropped or changed on the
 * way.
 */
internal class FrameCodec(
    private val mac: Mac,
) {
    private var sequence = 0L

    suspend fun write(
        output: ByteWriteChannel,
        message: WireMessage,
    ) {
        val payload = Cbor.encodeToByteArray(message)
        if (payload.size > FRAME_LIMIT_BYTES) throw IOException("message of ${payload.size} bytes exceeds the limit")
        output.writeInt(payload.size)
        output.writeByteArray(tag(payload))
        output.writeByteArray(payload)
    }

    suspend fun read(input: ByteReadChannel): WireMessage {
        val size = input.readInt()
        if (size !in 1..FRAME_LIMIT_BYTES) throw IOException("frame of $size bytes instead of 1 to $FRAME_LIMIT_BYTES")
        val received = input.readByteArray(TAG_BYTES)
        val payload = input.readByteArray(size)
        if (!MessageDigest.isEqual(tag(payload), received)) throw IOException("frame with a wrong MAC")
        return Cbor.decodeFromByteArray<WireMessage>(payload)
    }

    private fun tag(payload: ByteArray): ByteArray {
        mac.update(ByteBuffer.allocate(Long.SIZE_BYTES).putLong(sequence++).flip())
        return mac.doFinal(payload).copyOf(TAG_BYTES)
    }
}

/** Fits a full configuration of 12,000 organisations; only authenticated peers may send frames of this size. */
internal const val FRAME_LIMIT_BYTES = 8 * 1024 * 1024

private const val TAG_BYTES = 16
