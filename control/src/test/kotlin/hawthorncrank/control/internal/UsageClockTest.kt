package hawthorncrank.control.internal

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/**
 * Tests a replica's estimate of true time, here [time] + [TRUE]. The replica has ten entries that send twice a second.
 * [leap] is the part of its clock that a time of day set forward added.
 */
class UsageClockTest {
    private var time = 1_000L
    private var leap = 0L
    private var ownStep = 0L
    private val entrySteps = LongArray(10)
    private val entryStops = LongArray(10)
    private var estimates = false
    private var clock = UsageClock()

    /** Counts would move to other windows when the times of day of some machines are set. */
    @Test
    fun `times of day that are set on less than half of the machines do not move the estimate`() {
        run(5_000)
        listOf(2_000L, -2_000L, 0L).forEach { step ->
            (0..2).forEach { entrySteps[it] = step }
            run(30_000)
            assertError(5)
        }
    }

    /** All entries of one replica may be among the machines whose time of day is set. */
    @Test
    fun `times of day that are set on all entries move the estimate by less than 100 ms in 20 s`() {
        run(5_000)
        entrySteps.fill(2_000)
        run(20_000)
        assertError(50)
    }

    @Test
    fun `a replica whose time of day is set forward keeps the estimate`() {
        run(5_000)
        leap += 2_000
        ownStep += 2_000
        // A message may be handled before the first tick after the leap.
        assertNull(clock.trueTime(time + leap))
        run(3_000)
        assertError(60)
        run(5_000)
        assertError(60)
    }

    /** Fails if the leap of all clocks of a zone is taken for time that passed. */
    @Test
    fun `a replica whose time of day is set forward together with those of its entries keeps the estimate`() {
        run(5_000)
        leap += 2_000
        ownStep += 2_000
        entrySteps.fill(2_000)
        run(3_000)
        assertError(60)
    }

    @Test
    fun `a suspended replica keeps the estimate although it first reads messages that waited`() {
        run(5_000)
        val waited = time
        time += 3_000
        repeat(10) { hear(it, waited) }
        run(3_000)
        assertError(60)
    }

    @Test
    fun `a replica that was just started takes the estimates of its entries while their times of day are wrong`() {
        entrySteps.fill(2_000)
        ownStep = 2_000
        estimates = true
        run(3_000)
        assertError(5)
    }

    @Test
    fun `suspended entries do not move the estimate`() {
        run(5_000)
        (0..2).forEach { entryStops[it] = 2_500 }
        run(10_000)
        assertError(5)
    }

    private fun run(milliseconds: Long) {
        repeat((milliseconds / 100).toInt()) {
            time += 100
            clock = clock.tick(time + leap, TRUE + ownStep - leap)
            if (time % 500 == 0L) repeat(10) { hear(it, time) }
        }
    }

    private fun hear(
        entry: Int,
        sentAt: Long,
    ) {
        val estimate = (sentAt + TRUE).takeIf { estimates }
        val wallTime = sentAt + TRUE + entrySteps[entry]
        clock = clock.hear(entry.toLong(), sentAt - entryStops[entry], wallTime, estimate, time + leap)
    }

    private fun assertError(limit: Long) {
        val error = assertNotNull(clock.trueTime(time + leap), "no estimate") - time - TRUE
        assertTrue(Math.abs(error) <= limit, "the estimate is wrong by $error ms")
    }

    private companion object {
        const val TRUE = 1_800_000_000_000L
    }
}
