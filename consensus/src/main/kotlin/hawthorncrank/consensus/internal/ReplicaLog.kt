package hawthorncrank.consensus.internal

import hawthorncrank.protocol.LogRecord
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/**
 * The log records in memory. Those up to [baseIndex] are only in the snapshot; [baseTerm] is the term there. [bytes] is
 * the size of the records in the log files.
 */
internal data class ReplicaLog(
    val baseIndex: Long = 0,
    val baseTerm: Long = 0,
    val records: PersistentList<LogRecord> = persistentListOf(),
    val bytes: Long = records.sumOf(::recordBytes),
) {
    val lastIndex: Long get() = baseIndex + records.size
    val lastTerm: Long get() = records.lastOrNull()?.term ?: baseTerm

    /** Returns null if [index] is before [baseIndex] or after [lastIndex]. */
    fun term(index: Long): Long? =
        when {
            index == baseIndex -> baseTerm
            index < baseIndex || index > lastIndex -> null
            else -> record(index).term
        }

    fun record(index: Long): LogRecord = records[(index - baseIndex - 1).toInt()]

    fun range(
        first: Long,
        last: Long,
    ): List<LogRecord> = (first..last).map(::record)

    fun append(more: List<LogRecord>): ReplicaLog =
        copy(records = records.addAll(more), bytes = bytes + more.sumOf(::recordBytes))

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
    ): PersistentList<LogRecord> = records.subList(first.toInt(), last.toInt()).toPersistentList()
}
