package hawthorncrank.consensus

import hawthorncrank.consensus.internal.ReplicaLog
import hawthorncrank.protocol.LogRecord
import hawthorncrank.protocol.RecordKind
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ConsensusCostTest {
    /** Fails on more than one exchange with each other voter per commit or heartbeat, or on over 6 KB/s when idle. */
    @Test
    fun `a commit costs one exchange with each other voter`() {
        listOf(3, 5, 7).forEach { voters ->
            listOf(1, 10).forEach { burst ->
                val cost = measureConsensusCost(voters, 2_000, 200, burst)
                println(cost)
                assertTrue(cost.messagesPerCommit <= 2.0 * (voters - 1), "$cost")
                assertEquals(2.0 * (voters - 1), cost.messagesPerHeartbeat)
                assertTrue(cost.leaderLinkBytesPerSecondIdle <= NODE_BYTES_PER_SECOND, "$cost")
            }
        }
    }

    /** Prints the heap size of a record. The maximum number of records in memory must fit in the 64 MB of a node. */
    @Suppress("ExplicitGarbageCollectionCall")
    @Test
    fun `the records kept in memory fit in the memory of a node`() {
        fun used(): Long {
            repeat(3) { System.gc() }
            return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
        }
        val before = used()
        var log = ReplicaLog()
        repeat(RECORDS) { log = log.append(listOf(LogRecord(it + 1L, 1, RecordKind.COMMAND, ByteArray(200)))) }
        val perRecord = (used() - before) / log.records.size
        println("heap per record of 200 bytes: $perRecord bytes")
        val kept =
            ReplicaSettings(emptyList()).let {
                it.minimumRecordsBetweenSnapshots + it.recordsKeptBeforeSnapshot + it.maximumPendingRequests
            }
        assertTrue(perRecord * kept < NODE_BYTES, "$perRecord bytes for each of $kept records")
    }
}

private const val RECORDS = 100_000
private const val NODE_BYTES_PER_SECOND = 6_000.0
private const val NODE_BYTES = 64_000_000L
