package hawthorncrank.entry.core

import hawthorncrank.entry.core.RoutedScenario.Companion.IDEMPOTENT
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

/**
 * Guards against requests and probes to upstreams that asked for none. The load is a service at its limits, whose upstreams
 * reject requests while callers go on sending.
 */
class HoldsTest {
    private val scenario = RoutedScenario()

    @Test
    fun `an upstream that asked for no requests gets none until the time has passed`() {
        val held = scenario.call(1, IDEMPOTENT).start()
        scenario.end(held.attemptNumber, rejected(2_000))
        val during = (2L..4L).map { scenario.call(it, IDEMPOTENT).start().upstream }
        assertTrue(held.upstream !in during, "$during")
        scenario.pass(1_900)
        assertNotEquals(held.upstream, scenario.call(10, IDEMPOTENT).start().upstream)
        scenario.pass(200)
        assertTrue(held.upstream in (11L..16L).flatMap { scenario.call(it, IDEMPOTENT).starts() }.map { it.upstream })
    }

    @Test
    fun `upstreams that asked for no requests are counted until the time has passed`() {
        val held = scenario.call(1, IDEMPOTENT).start()
        scenario.end(held.attemptNumber, rejected(2_500))
        val counted = scenario.pass(4_000).of<EntryEffect.Measure>().map { it.measurement }
        val heldOff = counted.filterIsInstance<Measurement.UpstreamsWithoutWork>().map { it.heldOff }
        assertEquals(1, heldOff.first())
        assertEquals(0, heldOff.last())
    }

    @Test
    fun `two callers at once that are rejected keep the longer of the two times`() {
        val scenario = RoutedScenario(listOf(listedService("s1"), listedService("s2")))
        val starts = (1L..4L).map { scenario.call(it, IDEMPOTENT).start() }
        val (first, second) = starts.filter { it.upstream == starts.first().upstream }.take(2)
        scenario.end(first.attemptNumber, rejected(3_000))
        scenario.end(second.attemptNumber, rejected(500))
        scenario.pass(1_000)
        val during = (10L..11L).map { scenario.call(it, IDEMPOTENT).start().upstream }
        assertTrue(first.upstream !in during, "$during")
    }

    @Test
    fun `an upstream that asked for no requests is not probed either`() {
        val scenario = RoutedScenario(listOf(listedService("s1")))
        val first = scenario.call(1, IDEMPOTENT).start()
        val second = scenario.call(2, IDEMPOTENT).start()
        scenario.end(first.attemptNumber, AttemptEnd.NotConnected)
        scenario.end(second.attemptNumber, rejected(5_000))
        assertEquals(emptyList(), scenario.pass(4_900).of<EntryEffect.ProbeUpstream>())
        assertEquals(
            "s1",
            scenario
                .pass(200)
                .of<EntryEffect.ProbeUpstream>()
                .single()
                .upstream,
        )
    }

    /** A refusal close to the deadline leaves the caller no time to go elsewhere. */
    @Test
    fun `a request is refused with the shortest time if all upstreams are held off for longer than it can wait`() {
        hold("s1", "s2", milliseconds = 6_000)
        scenario.pass(1_000)
        val refusal =
            assertIs<Refusal.Overloaded>(scenario.call(9, IDEMPOTENT, finishBy = scenario.now + 4_000).refusal())
        assertEquals(StatedOutcome.NOT_RUN to 5_000L, refusal.outcome to refusal.retryAfterMilliseconds)
    }

    @Test
    fun `a request waits for an upstream that is held off for a short time`() {
        hold("s1", "s2", milliseconds = 200)
        val waiting = scenario.call(9, IDEMPOTENT)
        assertEquals(emptyList(), waiting.of<EntryEffect.RefuseCaller>() + waiting.starts())
        assertEquals(9, scenario.pass(300).start().requestNumber)
    }

    @Test
    fun `a rejection without a time and one that does not concern the upstream as a whole hold nothing off`() {
        val scenario = RoutedScenario(listOf(listedService("s1")))
        scenario.end(
            scenario.call(1, IDEMPOTENT).start().attemptNumber,
            AttemptEnd.Rejected(null, concernsUpstream = true),
        )
        assertEquals("s1", scenario.call(2, IDEMPOTENT).start().upstream)
        scenario.end(scenario.call(3, IDEMPOTENT).start().attemptNumber, AttemptEnd.Rejected(5_000))
        assertEquals("s1", scenario.call(4, IDEMPOTENT).start().upstream)
    }

    @Test
    fun `another start of the upstream at another address is not held off`() {
        val scenario = RoutedScenario(listOf(listedService("s1")))
        scenario.end(scenario.call(1, IDEMPOTENT).start().attemptNumber, rejected(60_000))
        scenario.send(EntryEvent.UpstreamsListed(listOf(listedService("s1").copy(address = "127.0.0.1:3"))))
        assertEquals("127.0.0.1:3", scenario.call(2, IDEMPOTENT).start().address)
    }

    /** The caller's own end must not hide what the upstream asked for. */
    @Test
    fun `the rejection of a request whose caller left holds the upstream off`() {
        val scenario = RoutedScenario(listOf(listedService("s1")))
        val start = scenario.call(1, IDEMPOTENT).start()
        scenario.send(EntryEvent.CallerLeft(1))
        scenario.end(start.attemptNumber, rejected(5_000))
        assertEquals(emptyList(), scenario.call(2, IDEMPOTENT).starts())
    }

    @Test
    fun `one log line tells that an upstream is held off`() {
        val starts = (1L..4L).map { scenario.call(it, IDEMPOTENT).start() }
        val (first, second) = starts.filter { it.upstream == starts.first().upstream }.take(2)
        val effects =
            scenario.end(first.attemptNumber, rejected(3_000)) + scenario.end(second.attemptNumber, rejected(3_000))
        val line = effects.of<EntryEffect.RecordEvent>().single { it.event.number == 1513 }
        assertEquals(mapOf("upstream" to first.upstream, "milliseconds" to 3_000L), line.fields)
    }

    private fun hold(
        vararg upstreams: String,
        milliseconds: Long,
    ) {
        val starts = (100L..107L).map { scenario.call(it, IDEMPOTENT.copy(maximumAttempts = 1)).start() }
        upstreams.forEach { name ->
            scenario.end(starts.first { it.upstream == name }.attemptNumber, rejected(milliseconds))
        }
    }

    private fun rejected(milliseconds: Long) = AttemptEnd.Rejected(milliseconds, concernsUpstream = true)
}
