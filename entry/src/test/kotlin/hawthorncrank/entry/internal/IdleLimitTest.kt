package hawthorncrank.entry.internal

import reactor.core.publisher.Flux
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against an idle limit that closes connections under requests in progress. */
class IdleLimitTest {
    @Test
    fun `a request that waits for permission to send its body outlasts the idle limit`() =
        slowly { connection ->
            connection.sendWhenAsked()
            assertEquals(200, connection.status())
        }

    @Test
    fun `a request that was sent before the answer to the one before it outlasts the idle limit`() =
        slowly { connection ->
            connection.send()
            connection.send()
            assertEquals(listOf(200, 200), List(2) { connection.status() })
        }

    private fun slowly(test: (KeptConnection) -> Unit) {
        val answer = Flux.just("{}").delayElements(Duration.ofMillis(3 * IDLE_LIMIT_MILLISECONDS))
        val limits = ProcessLimits(port = PortLimits(idleMilliseconds = IDLE_LIMIT_MILLISECONDS))
        FakeUpstream { _, response, _ -> response.sendString(answer) }.use { upstream ->
            EntryFixture(limits, EntryFixture.routingTo(upstream.port)).use { entry ->
                KeptConnection(entry.process.httpPort).use(test)
            }
        }
    }

    private companion object {
        const val IDLE_LIMIT_MILLISECONDS = 200L
    }
}
