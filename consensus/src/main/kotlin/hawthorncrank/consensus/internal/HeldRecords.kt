package hawthorncrank.consensus.internal

import hawthorncrank.protocol.LogRecord

/** A list of records that decompresses each one when it is read. */
internal class HeldRecords(
    val held: List<HeldRecord>,
) : AbstractList<LogRecord>() {
    override val size: Int get() = held.size

    override fun get(index: Int): LogRecord = held[index].record()
}

internal fun heldRecordsOf(records: List<LogRecord>): List<HeldRecord> =
    if (records is HeldRecords) records.held else records.map(HeldRecord::of)
