package hawthorncrank.control.internal

import hawthorncrank.control.ControlHistory
import hawthorncrank.protocol.OperatorAnswer
import hawthorncrank.protocol.OperatorCommand
import kotlin.test.Test
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Each change to a configuration is a log record with the operator's whole document. */
class LargeDocumentsTest {
    private val group = VirtualGroup(3)

    /** Otherwise all replicas run out of memory at once, and the group neither accepts nor returns a configuration. */
    @Test
    fun `hundreds of changes to a large document do not fill the memory of a replica`() {
        var largest = 0L
        for (version in 1L..CHANGES) {
            val document = ByteArray(DOCUMENT_BYTES) { (version + it).toByte() }
            val command = OperatorCommand.ReplaceConfiguration(version, document, ControlHistory.initial)
            assertIs<OperatorAnswer.Accepted>(group.execute(group.leader(), command), "change $version")
            largest = maxOf(largest, group.states().maxOf { it.replica.logBytes + it.replica.snapshotBytes })
        }
        println("largest log and snapshot in memory: $largest bytes")
        assertTrue(largest <= NODE_BYTES / 2, "$largest bytes of the $NODE_BYTES that a node may spend for control")
    }

    private companion object {
        const val CHANGES = 300L
        const val DOCUMENT_BYTES = 390_000
        const val NODE_BYTES = 64_000_000L
    }
}
