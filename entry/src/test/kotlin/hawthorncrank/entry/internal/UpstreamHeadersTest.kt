package hawthorncrank.entry.internal

import hawthorncrank.entry.core.LoadReport
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class UpstreamHeadersTest {
    @Test
    fun `a load report is parsed`() {
        assertEquals(LoadReport(1, 2, 3, 4, 5.5), parseLoad(report()))
        assertEquals(LoadReport(1, 0, 0, 4, 5.5), parseLoad(report(running = "0", queued = "0")))
        assertNull(parseLoad(null))
    }

    /** If sums over such values overflow, a full engine appears to have free slots. */
    @Test
    fun `a load report with a value out of range is ignored`() {
        listOf("-1", "2147483647", "1e400").forEach {
            assertNull(parseLoad(report(running = it)), "running $it")
            assertNull(parseLoad(report(queued = it)), "queued $it")
            assertNull(parseLoad(report(slots = it)), "slots $it")
        }
        listOf("-1", "1e400", "NaN").forEach { assertNull(parseLoad(report(interval = it)), "interval $it") }
    }

    private fun report(
        running: String = "2",
        queued: String = "3",
        slots: String = "4",
        interval: String = "5.5",
    ) = """{"sequence":1,"running":$running,"queued":$queued,"slots":$slots,"token_interval":$interval}"""
}
