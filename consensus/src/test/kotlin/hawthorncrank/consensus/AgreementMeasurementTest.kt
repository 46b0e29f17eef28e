package hawthorncrank.consensus

import hawthorncrank.consensus.internal.ReplicaLog
import hawthorncrank.protocol.LogRecord
import hawthorncrank.protocol.RecordKind
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class AgreementMeasurementTest {
    /** Guards against chatter: one exchange with each other voter per commit and heartbeat, and 6 KB/s for a node. */
    @Test
    fun `agreement costs one exchange with each other voter`() {
        listOf(3, 5, 7).forEach { voters ->
            listOf(1, 10).forEach { burst ->
                val figures = measureConsensusCost(voters, 2_000, 200, burst)
                println(figures)
                assertTrue(figures.messagesPerCommit <= 2.0 * (voters - 1), "$figures")
                assertEquals(2.0 * (voters - 1), figures.messagesPerHeartbeat)
                assertTrue(figures.leaderLinkBytesPerSecondIdle <= NODE_BYTES_PER_SECOND, "$figures")
            }
        }
    }

    /** Prints the heap that a record takes; the bound is the 64 MB of a node for the most records that are kept. */
    @Suppress("ExplicitGarbageCollectionCall")
    @Test
    fun `the records kept in memory fit the node`() {
        fun used(): Long {
            repeat(3) { System.gc() }
            return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
        }
        val before = used()
        var log = ReplicaLog()
        repeat(RECORDS) { log = log.append(listOf(LogRecord(it + 1L, 1, RecordKind.COMMAND, ByteArray(200)))) }
        val perRecord = (used() - before) / log.records.size
        println("heap per record of 200 bytes: $perRecord bytes")
        val kept = ReplicaSettings(emptyList()).let { it.snapshotInterval + it.retainedRecords + it.waitingCommands }
        assertTrue(perRecord * kept < NODE_BYTES, "$perRecord bytes for each of $kept records")
    }
}

private const val RECORDS = 100_000
private const val NODE_BYTES_PER_SECOND = 6_000.0
private const val NODE_BYTES = 64_000_000L
