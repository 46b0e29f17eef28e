package hawthorncrank.entry

import com.github.michaelbull.result.unwrap
import hawthorncrank.common.EventLog
import hawthorncrank.common.Milliseconds
import hawthorncrank.common.systemClock
import hawthorncrank.emulator.EmulatorSettings
import hawthorncrank.emulator.EngineSettings
import hawthorncrank.emulator.ServiceSettings
import hawthorncrank.emulator.startEmulator
import hawthorncrank.entry.internal.EntryFixture
import hawthorncrank.entry.internal.HttpAnswer
import hawthorncrank.entry.internal.exchange
import hawthorncrank.link.Link
import hawthorncrank.link.LinkListener
import hawthorncrank.link.LinkSettings
import hawthorncrank.link.linkServer
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.LinkRole
import hawthorncrank.protocol.Upstream
import hawthorncrank.protocol.UpstreamKind
import hawthorncrank.protocol.WireMessage
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Runs an entry with its production reducer, emulated upstreams and a control link that only sends a configuration. */
class EntryWithEngineTest {
    private val emulator =
        startEmulator(
            EmulatorSettings(
                engines =
                    listOf(
                        EngineSettings(
                            "engine-1",
                            "127.0.0.1:0",
                            listOf("m"),
                            tokenInterval = Milliseconds(1),
                            reportLag = Milliseconds(0),
                        ),
                    ),
                services = listOf(ServiceSettings("bookings-1", "127.0.0.1:0", Milliseconds(1))),
            ),
            "test",
            systemClock(),
            SILENT,
        ).unwrap()
    private val control =
        linkServer(
            LinkSettings(LinkRole.REPLICA, "control-1", "key"),
            "127.0.0.1:0",
            ConfigurationSource(),
            SILENT,
        ).unwrap()
    private val entry =
        startEntry(
            EntryFixture.settings().copy(control = listOf("127.0.0.1:${control.port}")),
            "test",
            systemClock(),
            SILENT,
        ).unwrap()

    @AfterTest
    fun stop() {
        entry.close()
        control.close()
        emulator.close()
    }

    @Test
    fun `an entry with one engine answers a streamed request byte for byte`() {
        awaitReady()
        val body = """{"model":"m","stream":true,"messages":[{"role":"user","content":"knots [length=40]"}]}"""
        val direct = exchange(emulator.port("engine-1"), "POST", "/v1/chat/completions", body)
        val throughEntry = post("/v1/chat/completions", body)
        assertEquals(200, throughEntry.status)
        assertEquals(direct.body, throughEntry.body)
        assertContains(throughEntry.body, "[DONE]")
    }

    @Test
    fun `a lookup reaches the service and a stop finishes when nothing is in flight`() {
        awaitReady()
        val answer = exchange(entry.httpPort, "GET", "/bookings/7", headers = listOf(AUTHORIZATION))
        assertEquals("""{"service":"bookings-1","path":"/bookings/7"}""", answer.body)
        val finished = CountDownLatch(1)
        entry.stop { finished.countDown() }
        assertTrue(finished.await(10, TimeUnit.SECONDS))
        assertEquals(503, exchange(entry.operationsPort, "GET", "/readyz").status)
        assertEquals(503, exchange(entry.httpPort, "GET", "/bookings/7", headers = listOf(AUTHORIZATION)).status)
    }

    /** Guards against a planned stop that cuts off a stream. */
    @Test
    fun `a stop waits for the stream in flight`() {
        awaitReady()
        val body = """{"model":"m","stream":true,"messages":[{"role":"user","content":"knots [length=3000]"}]}"""
        val request =
            HttpRequest
                .newBuilder(URI("http://127.0.0.1:${entry.httpPort}/v1/chat/completions"))
                .header(AUTHORIZATION.substringBefore(": "), AUTHORIZATION.substringAfter(": "))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build()
        val stream = HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofInputStream()).body()
        val first = stream.read()
        val finished = CountDownLatch(1)
        entry.stop { finished.countDown() }
        val answer = first.toChar() + stream.readAllBytes().decodeToString()
        assertContains(answer, "[DONE]")
        assertTrue(finished.await(20, TimeUnit.SECONDS))
    }

    private fun awaitReady() {
        val end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20)
        while (exchange(entry.operationsPort, "GET", "/readyz").status != 200) {
            check(System.nanoTime() < end) { "the entry did not become ready within 20 s" }
        }
    }

    private fun post(
        path: String,
        body: String,
    ): HttpAnswer = exchange(entry.httpPort, "POST", path, body, listOf(AUTHORIZATION))

    private inner class ConfigurationSource : LinkListener {
        override fun opened(link: Link) {
            link.send(ControlToEntry.ConfigurationUpdate(1, configuration(), confirmed = true))
        }

        override fun received(
            link: Link,
            message: WireMessage,
        ) = Unit

        override fun closed(
            link: Link,
            reason: String,
        ) = Unit
    }

    private fun configuration(): Configuration =
        EntryFixture.CONFIGURATION.copy(
            upstreams =
                listOf(
                    upstream("engine-1", UpstreamKind.ENGINE).copy(models = listOf("m")),
                    upstream("bookings-1", UpstreamKind.SERVICE).copy(service = "bookings"),
                ),
        )

    private fun upstream(
        name: String,
        kind: UpstreamKind,
    ) = Upstream(name, kind, "127.0.0.1:${emulator.port(name)}", "zone-1", "north")

    private companion object {
        val SILENT = EventLog { _, _ -> }
        const val AUTHORIZATION = "Authorization: Bearer ${EntryFixture.KEY}"
    }
}
