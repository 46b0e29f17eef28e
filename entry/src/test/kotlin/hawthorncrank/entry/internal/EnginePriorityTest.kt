package hawthorncrank.entry.internal

import hawthorncrank.entry.internal.RoutedEntryFixture.PRIORITY_HEADER
import hawthorncrank.entry.internal.RoutedEntryFixture.organisation
import hawthorncrank.entry.internal.RoutedEntryFixture.route
import kotlin.test.Test
import kotlin.test.assertTrue

class EnginePriorityTest {
    private val routes = listOf(route("/urgent/", tier = 1), route("/draft/", tier = 3))

    /** Guards against engines that preempt an urgent request while a less urgent one of its organisation runs on. */
    @Test
    fun `an urgent route comes before a less urgent one of the same organisation tier at the engine`() {
        for (tier in listOf(null, 1, 2)) {
            FakeUpstream.answering(200, "{}").use { engine ->
                RoutedEntryFixture.entry(engine.port, routes, organisation(tier)).use { entry ->
                    val urgent = priority(engine, entry.httpPort, "/urgent/")
                    val draft = priority(engine, entry.httpPort, "/draft/")
                    assertTrue(
                        urgent < draft,
                        "organisation tier $tier: the urgent route has $urgent, the other $draft",
                    )
                }
            }
        }
    }

    private fun priority(
        engine: FakeUpstream,
        port: Int,
        path: String,
    ): Int {
        while (exchange(port, "POST", path, "{}").status != HTTP_OK) Thread.onSpinWait()
        return engine.headers
            .last()
            .getValue(PRIORITY_HEADER)
            .toInt()
    }
}
