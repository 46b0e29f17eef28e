package hawthorncrank.control.internal

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** A rate in settings, with or without a decimal point. The TOML library reads a whole number only as an integer. */
internal object RateSerializer : KSerializer<Double> {
    override val descriptor = PrimitiveSerialDescriptor("Rate", PrimitiveKind.DOUBLE)

    override fun serialize(
        encoder: Encoder,
        value: Double,
    ) = encoder.encodeDouble(value)

    override fun deserialize(decoder: Decoder): Double =
        try {
            decoder.decodeDouble()
        } catch (_: SerializationException) {
            decoder.decodeLong().toDouble()
        }
}
