package hawthorncrank.consensus.internal

import hawthorncrank.protocol.LogRecord
import hawthorncrank.protocol.RecordKind
import java.io.ByteArrayOutputStream
import java.util.zip.Deflater
import java.util.zip.DeflaterOutputStream
import java.util.zip.Inflater

/** A record of the log in memory. Its [content] is the payload, or the compressed payload, which is always smaller. */
internal class HeldRecord private constructor(
    val index: Long,
    val term: Long,
    val kind: RecordKind,
    private val payloadBytes: Int,
    private val content: ByteArray,
) {
    /** The size of the record in the log files. */
    val bytes: Long get() = FRAME_HEADER_BYTES + RECORD_HEADER_BYTES + payloadBytes.toLong()

    /** The memory that the payload takes, in bytes. */
    val heldBytes: Int get() = content.size

    fun record(): LogRecord = LogRecord(index, term, kind, payload())

    private fun payload(): ByteArray {
        if (content.size == payloadBytes) return content
        val payload = ByteArray(payloadBytes)
        val inflater = Inflater()
        try {
            inflater.setInput(content)
            var size = 0
            while (size < payloadBytes) size += inflater.inflate(payload, size, payloadBytes - size)
        } finally {
            inflater.end()
        }
        return payload
    }

    companion object {
        fun of(record: LogRecord) =
            HeldRecord(record.index, record.term, record.kind, record.payload.size, record.payload)

        /** Keeps the payload as it is if compression does not make it smaller. */
        fun compressed(record: LogRecord): HeldRecord {
            val compressed = deflate(record.payload)
            if (compressed.size >= record.payload.size) return of(record)
            return HeldRecord(record.index, record.term, record.kind, record.payload.size, compressed)
        }

        private fun deflate(bytes: ByteArray): ByteArray {
            val deflater = Deflater(Deflater.BEST_SPEED)
            try {
                val output = ByteArrayOutputStream()
                DeflaterOutputStream(output, deflater).use { it.write(bytes) }
                return output.toByteArray()
            } finally {
                deflater.end()
            }
        }
    }
}
