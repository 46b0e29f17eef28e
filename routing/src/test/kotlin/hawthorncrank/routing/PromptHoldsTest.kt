package hawthorncrank.routing

import hawthorncrank.common.Milliseconds
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.TrafficClass
import hawthorncrank.protocol.Upstream
import hawthorncrank.protocol.UpstreamKind
import hawthorncrank.scheduling.CapacityKind
import hawthorncrank.scheduling.QueuedWork
import hawthorncrank.scheduling.WorkTarget
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Guards against prompts that are sent to engines on which the answers that run there can no longer end in time. */
class PromptHoldsTest {
    private var now = 0L
    private var number = 0L
    private var router =
        router(
            Configuration(
                classes =
                    listOf(
                        TrafficClass(PLAN, 1, Milliseconds(2_500), Milliseconds(500)),
                        TrafficClass(GUESS, 1, Milliseconds(500), Milliseconds(120)),
                    ),
                upstreams =
                    listOf(
                        Upstream(
                            "engine",
                            UpstreamKind.ENGINE,
                            "127.0.0.1:1",
                            "zone",
                            "region",
                            listOf("model"),
                            slots = 64,
                        ),
                    ),
            ),
            RouterLocation("zone", "region"),
            liveEntries = 1,
            randomSeed = 1,
            RoutingPolicy(choice = ChoiceRule.LEAST_DELAY, reservesFloors = false),
        )

    @Test
    fun `a prompt waits while its engine is too slow for the longest answers`() {
        val stream = startStream(GUESS)
        generate(stream, events = 10, millisecondsPerEvent = 20)
        assertIs<RoutingAnswer.Chosen>(place(PLAN))
        generate(stream, events = 50, millisecondsPerEvent = 100)
        assertEquals(RoutingAnswer.Held, place(PLAN))
    }

    @Test
    fun `a more urgent prompt goes to an engine that prompts of other classes make slow`() {
        val stream = startStream(GUESS)
        repeat(8) { startStream(PLAN) }
        generate(stream, events = 10, millisecondsPerEvent = 20)
        generate(stream, events = 50, millisecondsPerEvent = 100)
        assertIs<RoutingAnswer.Chosen>(place(GUESS))
    }

    @Test
    fun `a prompt goes to its engine again once answers are fast enough`() {
        val stream = startStream(GUESS)
        generate(stream, events = 10, millisecondsPerEvent = 20)
        generate(stream, events = 50, millisecondsPerEvent = 100)
        generate(stream, events = 100, millisecondsPerEvent = 20)
        assertIs<RoutingAnswer.Chosen>(place(PLAN))
    }

    @Test
    fun `prompts wait while an earlier one has not begun within their target`() {
        val stream = startStream(GUESS)
        start(PLAN)
        generate(stream, events = 100, millisecondsPerEvent = 20)
        assertIs<RoutingAnswer.Chosen>(place(PLAN))
        generate(stream, events = 30, millisecondsPerEvent = 20)
        assertEquals(RoutingAnswer.Held, place(PLAN))
        assertIs<RoutingAnswer.Chosen>(place(GUESS))
    }

    /** The engine may be dark, and only another prompt would show when it works again. */
    @Test
    fun `prompts do not wait while no engine generates anything`() {
        start(PLAN)
        now += 10_000
        assertIs<RoutingAnswer.Chosen>(place(PLAN))
    }

    @Test
    fun `an answer that is too long for any pace does not keep prompts from their engine`() {
        val stream = startStream(GUESS, likelyTokens = 10_000)
        generate(stream, events = 10, millisecondsPerEvent = 20)
        generate(stream, events = 50, millisecondsPerEvent = 35)
        assertIs<RoutingAnswer.Chosen>(place(PLAN))
    }

    private fun startStream(
        className: String,
        likelyTokens: Int = 265,
    ): Long {
        val stream = start(className, likelyTokens)
        now += 50
        router = router.firstTokenReceived(stream, now)
        return stream
    }

    private fun start(
        className: String,
        likelyTokens: Int = 265,
    ): Long {
        val work = work(className)
        val attempt = RoutedAttempt(work.requestNumber, "engine", work, 1, CapacityKind.SHARED, false, likelyTokens)
        router = router.attemptStarted(attempt, now)
        return work.requestNumber
    }

    private val produced = HashMap<Long, Int>()

    /** Reports progress every few events, as entries do. */
    private fun generate(
        stream: Long,
        events: Int,
        millisecondsPerEvent: Long,
    ) = repeat(events / EVENTS_PER_REPORT) {
        now += EVENTS_PER_REPORT * millisecondsPerEvent
        val total = produced.merge(stream, EVENTS_PER_REPORT, Int::plus)!!
        router = router.attemptProgress(stream, total, now)
    }

    private fun place(className: String): RoutingAnswer =
        router.place(RoutingQuestion(work(className), 1, CapacityKind.SHARED), now)

    private fun work(className: String) =
        QueuedWork(
            ++number,
            "organisation",
            className,
            1,
            WorkTarget.Model("model"),
            arrival = now,
            finishBy = now + 15_000,
            promptTokens = if (className == PLAN) 17_000 else 1_500,
            maximumTokens = null,
            bodyBytes = 100,
            prefixBlocks = emptyList(),
            idempotent = true,
        )

    private companion object {
        const val PLAN = "plan"
        const val GUESS = "guess"
        const val EVENTS_PER_REPORT = 5
    }
}
