@file:OptIn(ExperimentalSerializationApi::class)

package hawthorncrank.control

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor

/** Encodes commands for the log and the state for snapshots as CBOR, and decodes them. */
object ControlCodec {
    fun encode(command: ControlCommand): ByteArray = cbor.encodeToByteArray(ControlCommand.serializer(), command)

    fun decodeCommand(bytes: ByteArray): ControlCommand = cbor.decodeFromByteArray(ControlCommand.serializer(), bytes)

    fun encode(state: ControlState): ByteArray = cbor.encodeToByteArray(ControlState.serializer(), state)

    fun decodeState(bytes: ByteArray): ControlState = cbor.decodeFromByteArray(ControlState.serializer(), bytes)

    private val cbor =
        Cbor {
            // Byte arrays encoded as arrays of numbers would nearly double the size of every recorded response body.
            alwaysUseByteString = true
            ignoreUnknownKeys = true
            // Structures stored once per claim have numbered fields; field names would take about half of their bytes.
            preferCborLabelsOverNames = true
            useDefiniteLengthEncoding = true
        }
}
