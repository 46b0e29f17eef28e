package hawthorncrank.control.internal

import hawthorncrank.control.ControlCodec
import hawthorncrank.control.ControlCommand
import hawthorncrank.control.ControlOperation
import hawthorncrank.control.ControlOperation.CloseUsageWindow
import hawthorncrank.control.ControlOperation.RecordUsage
import hawthorncrank.control.ControlState
import hawthorncrank.control.FencingNumber
import hawthorncrank.control.UsageCell
import hawthorncrank.control.UsageCounter
import hawthorncrank.control.applyCommand
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Tests the replicated counts of requests: every request counts once, and a report never changes. */
class UsageOperationsTest {
    private var state = ControlState()

    @Test
    fun `counts that are repeated or arrive out of order count once`() {
        apply(record(7, "a", "lumen", 5))
        apply(record(7, "a", "lumen", 3))
        apply(record(7, "a", "lumen", 5))
        apply(CloseUsageWindow(7))
        assertEquals(mapOf("lumen" to 5L), report(7))
    }

    @Test
    fun `the starts of an entry and different entries add up`() {
        apply(record(7, "a", "lumen", 5))
        apply(record(7, "restarted", "lumen", 2))
        apply(record(7, "b", "other", 1))
        apply(CloseUsageWindow(7))
        assertEquals(mapOf("lumen" to 7L, "other" to 1L), report(7))
    }

    /** The platform must never get two reports of one window. */
    @Test
    fun `a closed window changes neither by late counts nor by another close`() {
        apply(record(7, "a", "lumen", 5))
        apply(CloseUsageWindow(7))
        apply(record(7, "b", "lumen", 1))
        apply(CloseUsageWindow(7))
        assertEquals(mapOf("lumen" to 5L), report(7))
        assertTrue(state.usage.counted.isEmpty())
    }

    /** At this size a snapshot or a record must not grow with the names of its fields. */
    @Test
    fun `a recorded cell takes less than 60 bytes`() {
        val cells = List(100) { UsageCell(353_445_120, UsageCounter("1y2p0ij32e8e7", "organisation-$it"), 412) }
        val bytes = ControlCodec.encode(command(RecordUsage(cells))).size
        assertTrue(bytes < 6_000, "$bytes bytes for 100 cells")
    }

    private fun record(
        window: Long,
        start: String,
        organisation: String,
        count: Long,
    ) = RecordUsage(listOf(UsageCell(window, UsageCounter(start, organisation), count)))

    private fun apply(operation: ControlOperation) {
        val applied = applyCommand(state, command(operation), FencingNumber(1, 1)).state
        state = ControlCodec.decodeState(ControlCodec.encode(applied))
    }

    private fun command(operation: ControlOperation) = ControlCommand("command", "control-1", 0, 0, operation)

    private fun report(window: Long) =
        state.usage.closed
            .getValue(window)
            .counts
}
