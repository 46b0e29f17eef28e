package hawthorncrank.common

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** A duration. Settings write it with its unit, as in "250 ms", "1.8 s", "5 min", "1 h" or "7 d". */
@Serializable(with = MillisecondsSerializer::class)
@JvmInline
value class Milliseconds(
    val value: Long,
) : Comparable<Milliseconds> {
    override fun compareTo(other: Milliseconds): Int = value.compareTo(other.value)

    override fun toString(): String = "$value ms"
}

/** Reads and writes [Milliseconds] as text with a unit. */
object MillisecondsSerializer : KSerializer<Milliseconds> {
    override val descriptor = PrimitiveSerialDescriptor("Milliseconds", PrimitiveKind.STRING)

    override fun serialize(
        encoder: Encoder,
        value: Milliseconds,
    ) = encoder.encodeString(value.toString())

    override fun deserialize(decoder: Decoder): Milliseconds {
        val text = decoder.decodeString()
        val match = PATTERN.matchEntire(text.trim()) ?: throw wrongUnit(text)
        val factor = MILLISECONDS_PER_UNIT[match.groupValues[2]] ?: throw wrongUnit(text)
        return Milliseconds((match.groupValues[1].toDouble() * factor).toLong())
    }

    private fun wrongUnit(text: String) =
        SerializationException("\"$text\" is not a duration; write a number and one of the units ms, s, min, h, d")

    private val PATTERN = Regex("""(\d+(?:\.\d+)?)\s*([a-z]+)""")
    private val MILLISECONDS_PER_UNIT =
        mapOf("ms" to 1L, "s" to 1_000L, "min" to 60_000L, "h" to 3_600_000L, "d" to 86_400_000L)
}
