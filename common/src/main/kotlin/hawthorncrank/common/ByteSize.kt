package hawthorncrank.common

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** A size in bytes. Settings write it with its unit, as in "512 B", "16 KiB" or "4 MiB". */
@Serializable(with = ByteSizeSerializer::class)
@JvmInline
value class ByteSize(
    val bytes: Long,
) : Comparable<ByteSize> {
    override fun compareTo(other: ByteSize): Int = bytes.compareTo(other.bytes)

    override fun toString(): String = "$bytes B"
}

/** Reads and writes [ByteSize] as text with a unit. */
object ByteSizeSerializer : KSerializer<ByteSize> {
    override val descriptor = PrimitiveSerialDescriptor("ByteSize", PrimitiveKind.STRING)

    override fun serialize(
        encoder: Encoder,
        value: ByteSize,
    ) = encoder.encodeString(value.toString())

    override fun deserialize(decoder: Decoder): ByteSize {
        val text = decoder.decodeString()
        val match = PATTERN.matchEntire(text.trim()) ?: throw wrongUnit(text)
        val factor = BYTES_PER_UNIT[match.groupValues[2]] ?: throw wrongUnit(text)
        return ByteSize(match.groupValues[1].toLong() * factor)
    }

    private fun wrongUnit(text: String) =
        SerializationException("\"$text\" is not a size; write a whole number and one of the units B, KiB, MiB, GiB")

    private val PATTERN = Regex("""(\d+)\s*([A-Za-z]+)""")
    private val BYTES_PER_UNIT = mapOf("B" to 1L, "KiB" to (1L shl 10), "MiB" to (1L shl 20), "GiB" to (1L shl 30))
}
