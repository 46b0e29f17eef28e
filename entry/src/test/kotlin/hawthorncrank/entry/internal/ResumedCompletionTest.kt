package hawthorncrank.entry.internal

import hawthorncrank.entry.core.AttemptEnd
import hawthorncrank.entry.core.CallerRequest
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.EntryEvent
import hawthorncrank.entry.core.ResumePoint
import hawthorncrank.entry.internal.EntryFixture.Companion.CHAT
import hawthorncrank.entry.internal.EntryFixture.Companion.attempt
import hawthorncrank.entry.internal.EntryFixture.Companion.configured
import hawthorncrank.entry.internal.FakeUpstream.Companion.DONE
import hawthorncrank.entry.internal.FakeUpstream.Companion.event
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import reactor.core.publisher.Flux
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against chat completions that broke off and that the next upstream's error ends or continues. */
class ResumedCompletionTest {
    private val begun = event("a")
    private val head = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n"

    @Test
    fun `an empty answer does not complete a stream that lacks its end marker`() =
        assertEquals(begun + ERROR, answerOf(broken(begun), FakeUpstream.streaming(Flux.empty())))

    @Test
    fun `an empty answer completes a stream that has its end marker`() =
        assertEquals(begun + DONE, answerOf(broken(begun, DONE), FakeUpstream.streaming(Flux.empty())))

    @TestFactory
    fun `text that is no event is not sent to the caller`() =
        listOf(
            endsWithError("an error", "Internal error\n\n"),
            endsWithError("an error with an end marker", "Internal error\n\n$DONE"),
            endsWithError("a whole head", head + "Internal error"),
            endsWithError("an error after an event", event("b") + "Internal error\n\n", begun + event("b")),
        )

    @Test
    fun `an answer with an error status is not sent to the caller`() =
        assertEquals(begun + ERROR, answerOf(broken(begun), FakeUpstream.answering(500, "Internal error\n\n")))

    private fun endsWithError(
        name: String,
        answer: String,
        expected: String = begun,
    ) = DynamicTest.dynamicTest(name) {
        assertEquals(expected + ERROR, answerOf(broken(begun), FakeUpstream.streaming(Flux.just(answer))))
    }

    private fun broken(vararg events: String) = FakeUpstream.breaking(events.toList())

    /** The events that a caller gets if the stream of [first] is resumed at [second]. */
    private fun answerOf(
        first: FakeUpstream,
        second: FakeUpstream,
    ): String =
        first.use {
            second.use {
                EntryFixture(decide = resuming(first.port, second.port)).use {
                    it.post("/v1/chat/completions", CHAT).body.replace(Regex("data: .*broken off.*"), "data")
                }
            }
        }

    private fun resuming(
        firstPort: Int,
        secondPort: Int,
    ): EntryFixture.(EntryEvent) -> List<EntryEffect> {
        var request: CallerRequest? = null
        return { event ->
            when {
                event == EntryEvent.ControlLinkOpened -> configured()
                event is EntryEvent.RequestArrived -> {
                    request = event.request
                    listOf(attempt(event.request, number = 1, firstPort))
                }
                event is EntryEvent.AttemptEnded && event.end is AttemptEnd.Broken -> {
                    val resumed = checkNotNull(request)
                    if (event.attemptNumber == 1L) {
                        listOf(attempt(resumed, number = 2, secondPort, ResumePoint(1, 0)))
                    } else {
                        listOf(EntryEffect.AbortStream(resumed.number, "broken off"))
                    }
                }
                else -> emptyList()
            }
        }
    }

    private companion object {
        const val ERROR = "event: error\ndata\n\n"
    }
}
