package hawthorncrank.routing.internal

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards the rules by which the bound of one upstream follows its answers, and the order in which entries join. */
class WarmUpTest {
    private val started = WarmUp(startedAt = 0)

    @Test
    fun `the requests in progress double with each round of normal answers`() {
        var warmUp = started
        var inProgress = 0
        val rounds =
            (1..5).map { round ->
                val sent = (0 until 1_000).takeWhile { warmUp.hasRoom(inProgress + it, 1.0, round * 100L) }.size
                inProgress += sent
                repeat(sent) { warmUp = warmUp.answered(50, 1.0, inProgress, round * 100L + 50) }
                inProgress
            }
        assertEquals(1, rounds.first())
        assertTrue(rounds.zipWithNext().all { (before, after) -> after >= before * 2 }, "$rounds")
    }

    @Test
    fun `a slow answer halves the bound, and others of the same time do not halve it again`() {
        val wide = started.copy(bound = 16.0)
        val reduced = wide.answered(400, 4.0, 16, 1_000)
        assertEquals(8.0, reduced.bound)
        assertEquals(8.0, reduced.answered(400, 4.0, 15, 1_100).bound)
        assertEquals(8.0, reduced.answered(400, 1.0, 15, 1_100).bound, "an answer that began before says nothing")
        assertEquals(4.0, reduced.answered(400, 4.0, 8, 1_500).bound)
        assertEquals(16.0, wide.answered(250, 2.5, 16, 1_000).bound, "a spell of a warm engine is no trouble")
    }

    @Test
    fun `below a bound of one, requests pause so that their mean number is the bound`() {
        val failed = started.failed(1_000, 1_000).failed(500, 2_000)
        assertEquals(0.25, failed.bound)
        assertFalse(failed.hasRoom(0, 1.0, 3_499))
        assertTrue(failed.hasRoom(0, 1.0, 3_500))
        assertFalse(failed.hasRoom(1, 1.0, 3_500))
        assertEquals(0.5, failed.answered(100, 1.0, 1, 3_600).bound)
    }

    /** Growth on answers that show nothing about many requests at once would end in a flood at the next burst. */
    @Test
    fun `single requests do not raise the bound`() {
        val quiet = (1L..9L).fold(started) { warmUp, second -> warmUp.answered(50, 1.0, 1, second * 1_000) }
        assertEquals(3.0, quiet.bound)
        assertTrue(quiet.isWarm(share = 8.0, now = 10_000), "it ends without trouble")
        assertFalse(started.isWarm(share = 1.0, now = 10_000), "a share of one needs a normal answer too")
    }

    /** The cause is n entries with a bound of one each, whose first requests arrive at once. */
    @Test
    fun `entries join one after another within a second, whatever their number`() {
        for (entries in listOf(2, 12, 83, 330)) {
            val delays = (1..entries).map { joinDelay("entry-$it", "hule930", entries) }.sorted()
            assertTrue(delays.last() <= 1_000, "$entries entries join within ${delays.last()} ms")
            val early =
                (1..20).sumOf { server ->
                    (1..entries).count {
                        joinDelay("entry-$it", "s-$server", entries) ==
                            0L
                    }
                }
            assertTrue(early / 20.0 <= 1.5, "$early entries join 20 servers at once, of $entries entries")
        }
        val first = (1..10).map { server -> (1..83).minBy { joinDelay("entry-$it", "server-$server", 83) } }
        assertTrue(first.toSet().size >= 8, "the servers have different first entries: $first")
    }
}
