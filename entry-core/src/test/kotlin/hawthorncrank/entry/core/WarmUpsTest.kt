package hawthorncrank.entry.core

import hawthorncrank.entry.core.RoutedScenario.Companion.IDEMPOTENT
import hawthorncrank.protocol.ListedUpstream
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards which upstreams count as started or recovered, and that the warm-ups are shown in bounded lines. */
class WarmUpsTest {
    private val listed = listOf(listedService("s1"), listedService("s2").copy(address = "127.0.0.1:3"))

    @Test
    fun `the upstreams of the first list do not warm up`() {
        assertEquals(0, warmingAfter(RoutedScenario(listed, warmUp = true)))
    }

    @Test
    fun `an upstream that a later list names first or at another address warms up`() {
        val added = ListedUpstream("s3", "orders", "127.0.0.1:4", "zone", slots = 6, leaving = false)
        for (later in listOf(listed + added, listOf(listed[0].copy(address = "127.0.0.1:9"), listed[1]))) {
            val scenario = RoutedScenario(listed, warmUp = true)
            scenario.send(EntryEvent.UpstreamsListed(later))
            assertEquals(1, warmingAfter(scenario))
        }
    }

    @Test
    fun `an upstream warms up after a refusal with a time and after an exclusion`() {
        val ends = listOf(AttemptEnd.Rejected(300, concernsUpstream = true), AttemptEnd.NotConnected)
        for (end in ends) {
            val scenario = RoutedScenario(listed, warmUp = true)
            val start = scenario.call(1, IDEMPOTENT).start()
            scenario.end(start.attemptNumber, end)
            assertEquals(0, warmingAfter(scenario), "it is away")
            scenario.send(EntryEvent.ProbeAnswered(start.upstream, reachable = true))
            assertEquals(1, warmingAfter(scenario), "$end")
        }
    }

    /** The first request shows whether the upstream serves; a second one at the same time would wait for the same answer. */
    @Test
    fun `one request is in progress at the upstream until the first answer`() {
        val scenario = RoutedScenario(listed, warmUp = true)
        scenario.send(EntryEvent.UpstreamsListed(listOf(listed[0], listed[1].copy(address = "127.0.0.1:9"))))
        val starts = (1L..5L).map { scenario.call(it, IDEMPOTENT).start() }
        assertEquals(1, starts.count { it.upstream == "s2" }, "$starts")
        scenario.send(EntryEvent.AttemptFirstByte(starts.first { it.upstream == "s2" }.attemptNumber, failed = false))
        assertTrue((6L..9L).map { scenario.call(it, IDEMPOTENT).start() }.count { it.upstream == "s2" } >= 2)
    }

    @Test
    fun `work does not wait for the bound if all upstreams warm up`() {
        val scenario = RoutedScenario(listed, warmUp = true)
        scenario.send(EntryEvent.UpstreamsListed(listed.map { it.copy(address = "127.0.0.1:9") }))
        assertEquals(8, (1L..8L).flatMap { scenario.call(it, IDEMPOTENT).starts() }.size)
    }

    @Test
    fun `one line tells of all warm-ups that begin, and one of all that end`() {
        val scenario = RoutedScenario(listed, warmUp = true)
        val many =
            (1..30).map {
                ListedUpstream(
                    "n$it",
                    "orders",
                    "127.0.0.1:${100 + it}",
                    "zone",
                    slots = 6,
                    leaving = false,
                )
            }
        scenario.send(EntryEvent.UpstreamsListed(listed + many))
        val lines = scenario.pass(70_000).of<EntryEffect.RecordEvent>().filter { it.event.number in 1515..1516 }
        assertEquals(listOf(1515 to 30, 1516 to 30), lines.map { it.event.number to it.fields["count"] })
    }

    @Test
    fun `without the setting nothing warms up or is measured`() {
        val scenario = RoutedScenario(listed)
        scenario.send(EntryEvent.UpstreamsListed(listed.map { it.copy(address = "127.0.0.1:9") }))
        assertEquals(null, warmingAfter(scenario))
    }

    private fun warmingAfter(scenario: RoutedScenario): Int? =
        scenario
            .pass(1_000)
            .of<EntryEffect.Measure>()
            .map { it.measurement }
            .filterIsInstance<Measurement.WarmingUpstreams>()
            .lastOrNull()
            ?.count
}
