package hawthorncrank.consensus.internal

import hawthorncrank.protocol.LogRecord
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption.CREATE
import java.nio.file.StandardOpenOption.READ
import java.nio.file.StandardOpenOption.WRITE

/** One file of the log. [ends] holds the end offset of each record. */
internal class LogSegment(
    val path: Path,
    val firstIndex: Long,
    private val channel: FileChannel,
) : AutoCloseable {
    private val ends = mutableListOf<Long>()

    val lastIndex: Long get() = firstIndex + ends.size - 1
    val size: Long get() = ends.lastOrNull() ?: 0

    fun append(records: List<LogRecord>) {
        val frames = records.map(::recordFrame)
        var end = size
        val joined = ByteBuffer.allocate(frames.sumOf { it.remaining() })
        frames.forEach { joined.put(it) }
        joined.flip()
        while (joined.hasRemaining()) end += channel.write(joined, end)
        records.forEach { ends += size + recordBytes(it) }
    }

    /** Syncs the truncation before new records are written, so that a crash never mixes old and new records. */
    fun truncate(fromIndex: Long) {
        while (lastIndex >= fromIndex && ends.isNotEmpty()) ends.removeAt(ends.size - 1)
        channel.truncate(size)
        channel.force(true)
    }

    fun sync() = channel.force(false)

    override fun close() = channel.close()

    /** Reads the file. Bytes after the last complete record are reported but stay in the file until [truncate]. */
    fun load(): SegmentContent {
        val bytes = ByteBuffer.wrap(Files.readAllBytes(path))
        val records = mutableListOf<LogRecord>()
        var offset = 0
        while (true) {
            val payload = payloadAt(bytes, offset) ?: break
            val length = payload.remaining()
            val record = decodeRecord(payload)?.takeIf { it.index == firstIndex + records.size } ?: break
            records += record
            offset += FRAME_HEADER_BYTES + length
            ends += offset.toLong()
        }
        return SegmentContent(records, bytes.limit() - offset.toLong(), hasRecordAfter(bytes, offset))
    }

    private fun hasRecordAfter(
        bytes: ByteBuffer,
        offset: Int,
    ): Boolean =
        (offset..bytes.limit() - FRAME_HEADER_BYTES - RECORD_HEADER_BYTES).any { candidate ->
            payloadAt(bytes, candidate)?.let(::decodeRecord) != null
        }
}

/** [tailBytes] counts the bytes after the last complete record; [tailHasRecord] says if they contain a valid record. */
internal class SegmentContent(
    val records: List<LogRecord>,
    val tailBytes: Long,
    val tailHasRecord: Boolean,
)

internal fun openSegment(
    folder: Path,
    firstIndex: Long,
): LogSegment {
    val path = folder.resolve(SEGMENT_PREFIX + firstIndex.toString().padStart(INDEX_DIGITS, '0'))
    return LogSegment(path, firstIndex, FileChannel.open(path, CREATE, READ, WRITE))
}

internal const val SEGMENT_PREFIX = "log-"
internal const val INDEX_DIGITS = 19
