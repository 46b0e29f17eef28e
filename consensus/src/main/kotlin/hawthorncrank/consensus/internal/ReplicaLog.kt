package hawthorncrank.consensus.internal

import hawthorncrank.protocol.LogRecord
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/**
 * The log records after the snapshot, and some before it. Those up to [baseIndex] are only in the snapshot; [baseTerm] is
 * the term there. [bytes] is the size of the records in the log files.
 */
internal data class ReplicaLog(
    val baseIndex: Long = 0,
    val baseTerm: Long = 0,
    val records: PersistentList<HeldRecord> = persistentListOf(),
    val bytes: Long = records.sumOf { it.bytes },
) {
    val lastIndex: Long get() = baseIndex + records.size
    val lastTerm: Long get() = records.lastOrNull()?.term ?: baseTerm

    /** Returns null if [index] is before [baseIndex] or after [lastIndex]. */
    fun term(index: Long): Long? =
        when {
            index == baseIndex -> baseTerm
            index < baseIndex || index > lastIndex -> null
            else -> held(index).term
        }

    fun held(index: Long): HeldRecord = records[(index - baseIndex - 1).toInt()]

    fun record(index: Long): LogRecord = held(index).record()

    fun range(indexes: LongRange): HeldRecords =
        HeldRecords(records.subList((indexes.first - baseIndex - 1).toInt(), (indexes.last - baseIndex).toInt()))

    fun append(more: List<LogRecord>): ReplicaLog {
        val added = heldRecordsOf(more)
        return copy(records = records.addAll(added), bytes = bytes + added.sumOf { it.bytes })
    }

    fun truncate(fromIndex: Long): ReplicaLog =
        if (fromIndex > lastIndex) this else ReplicaLog(baseIndex, baseTerm, keep(0, fromIndex - baseIndex - 1))

    fun compact(throughIndex: Long): ReplicaLog {
        val term = term(throughIndex)
        if (throughIndex <= baseIndex || term == null) return this
        return ReplicaLog(throughIndex, term, keep(throughIndex - baseIndex, records.size.toLong()))
    }

    private fun keep(
        first: Long,
        last: Long,
    ): PersistentList<HeldRecord> = records.subList(first.toInt(), last.toInt()).toPersistentList()
}
