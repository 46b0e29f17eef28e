/*
 * The frame format of every file except `identity`: length, CRC32C of the payload, payload. The payload of a log record
 * has a fixed binary layout (index, term, kind, bytes), because field names would be larger than a small command.
 */
package hawthorncrank.consensus.internal

import hawthorncrank.protocol.LogRecord
import hawthorncrank.protocol.RecordKind
import java.nio.ByteBuffer
import java.util.zip.CRC32C

internal const val FRAME_HEADER_BYTES = 8
internal const val RECORD_HEADER_BYTES = 17

internal fun frame(payload: ByteBuffer): ByteBuffer {
    val frame = ByteBuffer.allocate(FRAME_HEADER_BYTES + payload.remaining())
    frame.putInt(payload.remaining()).putInt(checksum(payload.duplicate())).put(payload)
    return frame.flip()
}

/** Returns the payload of the frame at [offset], or null if the frame is incomplete or its checksum is wrong. */
internal fun payloadAt(
    bytes: ByteBuffer,
    offset: Int,
): ByteBuffer? {
    if (bytes.limit() - offset < FRAME_HEADER_BYTES) return null
    val length = bytes.getInt(offset)
    if (length <= 0 || length > bytes.limit() - offset - FRAME_HEADER_BYTES) return null
    val payload = bytes.slice(offset + FRAME_HEADER_BYTES, length)
    return payload.takeIf { checksum(it.duplicate()) == bytes.getInt(offset + Int.SIZE_BYTES) }
}

private fun checksum(bytes: ByteBuffer): Int = CRC32C().apply { update(bytes) }.value.toInt()

internal fun recordFrame(record: LogRecord): ByteBuffer {
    val payload = ByteBuffer.allocate(RECORD_HEADER_BYTES + record.payload.size)
    payload
        .putLong(record.index)
        .putLong(record.term)
        .put(record.kind.ordinal.toByte())
        .put(record.payload)
    return frame(payload.flip())
}

internal fun recordBytes(record: LogRecord): Long =
    FRAME_HEADER_BYTES + RECORD_HEADER_BYTES + record.payload.size.toLong()

internal fun decodeRecord(payload: ByteBuffer): LogRecord? {
    if (payload.remaining() < RECORD_HEADER_BYTES) return null
    val index = payload.getLong()
    val term = payload.getLong()
    val kind = RecordKind.entries.getOrNull(payload.get().toInt()) ?: return null
    return LogRecord(index, term, kind, ByteArray(payload.remaining()).also(payload::get))
}
