package hawthorncrank.entry.internal

import hawthorncrank.common.MillisecondClock
import hawthorncrank.common.systemClock
import hawthorncrank.entry.core.AttemptEnd
import hawthorncrank.entry.core.CallerRequest
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.RequestTarget
import hawthorncrank.entry.core.UpstreamTimeouts
import hawthorncrank.protocol.Repetition
import io.netty.channel.DefaultEventLoop
import io.netty.handler.codec.http.HttpMethod
import reactor.core.publisher.Flux
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull

/**
 * Guards against requests that are sent although their callers can no longer use the answer. The load is a process that
 * lacks processor time, so that much time passes between a decision and its execution.
 */
class LateSendingTest {
    private val route = RoutedEntryFixture.route("/call/", tier = 1).copy(repetition = Repetition.IDEMPOTENT)
    private val advanced = AtomicLong()
    private val clock =
        object : MillisecondClock by systemClock() {
            private val system = systemClock()

            override fun now() = system.now() + advanced.get()
        }
    private val begun = LinkedBlockingQueue<Result<Long?>>()

    @Test
    fun `a request whose deadline passed after its decision is not sent`() {
        serving(delay = 5_000) { port ->
            assertEquals(HTTP_UNAVAILABLE, RoutedEntryFixture.send(port, route.pathPrefix, "a").status)
            assertIs<SendingPointless>(begin().exceptionOrNull())
        }
    }

    /** Otherwise the upstream would work for longer than the caller waits. */
    @Test
    fun `a request that is sent late tells the upstream only the time that is left`() {
        serving(delay = 3_000) { port ->
            Socket("127.0.0.1", port).use {
                it.getOutputStream().write(REQUEST)
                assertEquals(true, begin().getOrThrow() in 1L..1_000L)
            }
        }
    }

    @Test
    fun `a request whose caller left after its decision is not sent`() {
        val loop = DefaultEventLoop()
        val exchanges = ActiveExchanges(client(delay = 0), clock::now) {}
        val exchange =
            Exchange(PARSED, { error("nothing is read again") }, loop, exchanges, EntryFixture.SILENT) {}
        loop.execute {
            exchange.start(START)
            exchange.callerLeft()
        }
        assertEquals(AttemptEnd.Cancelled(0), assertIs<SendingPointless>(begin().exceptionOrNull()).end)
        loop.shutdownGracefully()
    }

    private fun begin(): Result<Long?> = assertNotNull(begun.poll(10, TimeUnit.SECONDS), "nothing was to be sent")

    private fun serving(
        delay: Long,
        check: (port: Int) -> Unit,
    ) = RoutedEntryFixture.entry(1, listOf(route), clock = clock, client = client(delay)).use { entry ->
        while (exchange(entry.operationsPort, "GET", "/readyz").status != HTTP_OK) Thread.onSpinWait()
        check(entry.httpPort)
    }

    /** Records whether each attempt could be sent after [delay] milliseconds, and never gets an answer. */
    private fun client(delay: Long) =
        UpstreamClient { _, _, _, gate ->
            Flux.defer {
                advanced.addAndGet(delay)
                val result = runCatching(gate.begin).also { begun += it }
                result.fold({ Flux.never() }, { Flux.error(it) })
            }
        }

    private companion object {
        val OUTGOING =
            OutgoingRequest(
                HttpMethod.POST,
                "/",
                emptyList(),
                true,
                false,
                nativeExchangeFormat(),
            ) { _, _ -> ByteArray(0) }
        val CALLER_REQUEST =
            CallerRequest(
                number = 1,
                organisation = "crew",
                className = "quick",
                target = RequestTarget.Service("service", idempotent = true, idempotencyKey = null),
                contentDigest = "",
                bodyBytes = 0,
                streamed = false,
                finishBy = null,
            )
        val PARSED = ParsedRequest(CALLER_REQUEST, OUTGOING)
        val START =
            EntryEffect.StartAttempt(
                attemptNumber = 1,
                requestNumber = 1,
                upstream = "service-1",
                address = "127.0.0.1:1",
                priority = 1,
                timeouts = UpstreamTimeouts(1_000, 1_000, 1_000),
                deadlineMilliseconds = null,
                claimNumber = null,
                resume = null,
            )
        val REQUEST =
            "POST /call/ HTTP/1.1\r\nHost: 127.0.0.1\r\ntest-time: 4000\r\nContent-Length: 2\r\n\r\n{}".toByteArray()
    }
}
