package hawthorncrank.scheduling

import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.Organisation
import hawthorncrank.protocol.TrafficClass
import kotlin.test.Test
import kotlin.test.assertIs

/**
 * Guards against refusing every later request as too long for its deadline because one stream stalled after the
 * scheduler started.
 */
class StalledStreamTest {
    @Test
    fun `a request is accepted after a stream that stalled`() {
        val first = work(1, arrival = 0)
        var scheduler = assertIs<OfferOutcome.Queued>(scheduler(CONFIGURATION).offer(first, 0)).scheduler
        scheduler = scheduler.started(first, "engine", CapacityKind.SHARED, 0)
        scheduler = scheduler.progress(1, tokens = 1, answerStarted = true, now = 100)
        scheduler = scheduler.progress(1, tokens = 2, answerStarted = true, now = 6_100)
        scheduler = scheduler.finished(1, tokens = 100, complete = true, now = 8_000)
        assertIs<OfferOutcome.Queued>(scheduler.offer(work(2, arrival = 9_000), 9_000))
    }

    private fun work(
        number: Long,
        arrival: Long,
    ) = QueuedWork(
        number,
        "organisation",
        "class",
        1,
        WorkTarget.Model("model"),
        arrival,
        finishBy = arrival + 15_000,
        promptTokens = 100,
        maximumTokens = null,
        bodyBytes = 100,
        prefixBlocks = emptyList(),
        idempotent = true,
    )

    private companion object {
        val CONFIGURATION =
            Configuration(
                classes = listOf(TrafficClass("class", 1)),
                organisations = listOf(Organisation("organisation", "any", listOf("class"), emptyList())),
            )
    }
}
