package hawthorncrank.control.internal

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** Writes a [PersistentMap] as a map and keeps the order of insertion. */
@OptIn(ExperimentalSerializationApi::class)
internal class PersistentMapSerializer<Key, Value>(
    keys: KSerializer<Key>,
    values: KSerializer<Value>,
) : KSerializer<PersistentMap<Key, Value>> {
    private val maps = MapSerializer(keys, values)
    override val descriptor = SerialDescriptor("PersistentMap", maps.descriptor)

    override fun serialize(
        encoder: Encoder,
        value: PersistentMap<Key, Value>,
    ) = maps.serialize(encoder, value)

    override fun deserialize(decoder: Decoder): PersistentMap<Key, Value> = maps.deserialize(decoder).toPersistentMap()
}
