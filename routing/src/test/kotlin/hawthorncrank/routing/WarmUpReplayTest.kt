package hawthorncrank.routing

import hawthorncrank.routing.WarmUpRule.FOLLOWS_ANSWERS
import hawthorncrank.routing.WarmUpRule.NO_BOUND
import hawthorncrank.routing.WarmUpRule.RAMP_BY_TIME
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/**
 * Compares the warm-up with no bound and with a ramp over ten seconds. Twelve entries, which see only their own requests,
 * share servers with 48 slots whose work takes 100 ms, and an answer is late after 300 ms.
 */
class WarmUpReplayTest {
    /** Without a bound, the work that the slow server gets is late until the other servers look worse. */
    @Test
    fun `a server that is four times slow at first gets little work until it is faster`() {
        val outcomes = replay(4, 1_000.0) { name -> server(name, { time, _ -> maxOf(1.0, 4 - 3 * time / 4_000) }) }
        val followed = outcomes.getValue(FOLLOWS_ANSWERS)
        assertTrue(followed.late * 4 < outcomes.getValue(NO_BOUND).late, "$outcomes")
        assertTrue(followed.late < outcomes.getValue(RAMP_BY_TIME).late, "$outcomes")
        assertTrue(followed.share() < outcomes.getValue(RAMP_BY_TIME).share(), "$outcomes")
    }

    /** A ramp by time leaves the server idle while the others are loaded. */
    @Test
    fun `a server that is fast at once has its full share within two seconds`() {
        val outcomes = replay(4, 1_000.0) { server(it) }
        assertTrue(outcomes.getValue(FOLLOWS_ANSWERS).share() <= 2_000, "$outcomes")
        assertEquals(0, outcomes.getValue(FOLLOWS_ANSWERS).late)
    }

    /** The others cannot carry the load, and too many requests at once make the server slower for two seconds. */
    @Test
    fun `a server to which all callers return has its share sooner than with a ramp by time`() {
        val outcomes =
            replay(2, 550.0) { name ->
                server(name, { time, count -> if (time < 2_000 && count > 12) 1 + (count - 12) / 4.0 else 1.0 })
            }
        assertTrue(
            outcomes.getValue(FOLLOWS_ANSWERS).share() < outcomes.getValue(RAMP_BY_TIME).share() / 2,
            "$outcomes",
        )
        assertTrue(outcomes.getValue(FOLLOWS_ANSWERS).mostInProgress < outcomes.getValue(NO_BOUND).mostInProgress)
    }

    /** Each request that fails runs again elsewhere, and non-idempotent ones cannot. */
    @Test
    fun `a server that fails again under the first requests loses fewer of them`() {
        val outcomes =
            replay(4, 1_000.0) { WarmUpServer(it, SLOTS, failsAbove = { time -> if (time < 3_000) 10 else SLOTS * 9 }) }
        assertTrue(outcomes.getValue(FOLLOWS_ANSWERS).failed < outcomes.getValue(NO_BOUND).failed, "$outcomes")
        assertTrue(outcomes.getValue(FOLLOWS_ANSWERS).share() < outcomes.getValue(RAMP_BY_TIME).share(), "$outcomes")
    }

    /** Work that waits for a bound while the other servers are full is late because of the bound. */
    @Test
    fun `ten servers that return while the others are full take their share within two seconds`() {
        val outcomes = replay(12, 1_500.0, returning = 10) { server(it) }
        assertTrue(outcomes.getValue(FOLLOWS_ANSWERS).share() <= 2_000, "$outcomes")
        assertTrue(outcomes.getValue(FOLLOWS_ANSWERS).late * 3 < outcomes.getValue(RAMP_BY_TIME).late, "$outcomes")
    }

    /** The server reads the whole prompt first, which takes four times as long as its work on warm servers. */
    @Test
    fun `an empty cache is no sign of trouble`() {
        val outcomes =
            replay(4, 1_000.0, promptTokens = 8_000) { WarmUpServer(it, SLOTS, readingMilliseconds = 400.0) }
        assertTrue(assertNotNull(outcomes.getValue(FOLLOWS_ANSWERS).warmAfter) <= 2_000, "$outcomes")
        assertTrue(outcomes.getValue(FOLLOWS_ANSWERS).late <= outcomes.getValue(NO_BOUND).late, "$outcomes")
    }

    private fun replay(
        servers: Int,
        perSecond: Double,
        returning: Int = 1,
        promptTokens: Int = 0,
        returned: (String) -> WarmUpServer,
    ): Map<WarmUpRule, WarmUpOutcome> {
        val names = (1..servers).map { "s$it" }
        val back = names.take(returning).toSet()
        val create = { names.map { if (it in back) returned(it) else server(it) } }
        val load = WarmUpLoad(create, back, perSecond, SLOTS, promptTokens = promptTokens)
        return WarmUpRule.entries.associateWith { WarmUpRun(load, it).outcome() }.onEach { println("REPLAY $it") }
    }

    private fun server(
        name: String,
        slowdown: (Double, Int) -> Double = { _, _ -> 1.0 },
    ) = WarmUpServer(name, SLOTS, slowdown)

    private fun WarmUpOutcome.share(): Double = fullShareAfter ?: Double.MAX_VALUE

    private companion object {
        const val SLOTS = 48
    }
}
