@file:OptIn(ExperimentalSerializationApi::class)

package hawthorncrank.control

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor

/** The binary forms of commands in the log and of the state in snapshots. */
object ControlCodec {
    fun encode(command: ControlCommand): ByteArray = cbor.encodeToByteArray(ControlCommand.serializer(), command)

    fun decodeCommand(bytes: ByteArray): ControlCommand = cbor.decodeFromByteArray(ControlCommand.serializer(), bytes)

    fun encode(state: ControlState): ByteArray = cbor.encodeToByteArray(ControlState.serializer(), state)

    fun decodeState(bytes: ByteArray): ControlState = cbor.decodeFromByteArray(ControlState.serializer(), bytes)

    private val cbor =
        Cbor {
            // Byte arrays as lists of numbers would nearly double every recorded answer body.
            alwaysUseByteString = true
            ignoreUnknownKeys = true
            // What occurs once per claim has numbered fields; names would take about half of its bytes.
            preferCborLabelsOverNames = true
            useDefiniteLengthEncoding = true
        }
}
