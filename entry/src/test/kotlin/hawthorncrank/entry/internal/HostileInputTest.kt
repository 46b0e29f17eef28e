package hawthorncrank.entry.internal

import hawthorncrank.entry.internal.EntryFixture.Companion.CHAT
import hawthorncrank.entry.internal.EntryFixture.Companion.KEY
import hawthorncrank.entry.internal.EntryFixture.Companion.routingTo
import hawthorncrank.entry.internal.FakeUpstream.Companion.DONE
import reactor.core.publisher.Flux
import java.net.Socket
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against input that is accepted beyond its limit, rejected without a reason, or that affects other callers. */
class HostileInputTest {
    private val upstream = FakeUpstream.streaming(Flux.just(DONE))
    private val entry = EntryFixture(EntryFixture.shortLimits(), routingTo(upstream.port))
    private val port = entry.process.httpPort

    @AfterTest
    fun stop() {
        assertEquals(DONE, entry.post("/v1/chat/completions", CHAT).body)
        entry.close()
        upstream.close()
    }

    @Test
    fun `headers beyond 16 KiB are refused with a reason`() {
        val answer = rawExchange(port, "GET / HTTP/1.1\r\nHost: e\r\nA: ${"x".repeat(17 * 1024)}\r\n\r\n")
        assertTrue(answer.startsWith("HTTP/1.1 431"), answer)
        assertContains(answer, "16 KiB")
    }

    @Test
    fun `bytes that are not HTTP are refused with a reason`() {
        listOf("\u0000\u0001\u0002\r\n\r\n", "GET\r\n\r\n", "NONSENSE / FTP/9\r\nHost: e\r\n\r\n").forEach { bytes ->
            listOf(port, entry.process.operationsPort).forEach { target ->
                val answer = rawExchange(target, bytes)
                assertTrue(answer.startsWith("HTTP/1.1 400"), "$bytes: $answer")
                assertContains(answer, "remedy")
            }
        }
    }

    @Test
    fun `a connection that sends its request head too slowly is closed`() {
        assertEquals("", rawExchange(port, "POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\nA"))
    }

    @Test
    fun `a link port that receives HTTP closes the connection`() {
        Socket("127.0.0.1", entry.process.linkPort).use { socket ->
            socket.soTimeout = 10_000
            socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: e\r\n\r\n".toByteArray())
            runCatching { socket.getInputStream().readAllBytes() }
        }
    }

    @Test
    fun `a body beyond 4 MiB is refused with and without a Content-Length`() {
        val announced = rawExchange(port, head("Content-Length: 5000000"))
        assertTrue(announced.startsWith("HTTP/1.1 413"), announced)
        val chunk = "10000\r\n${"x".repeat(0x10000)}\r\n"
        val chunked = runCatching { rawExchange(port, head("Transfer-Encoding: chunked") + chunk.repeat(80)) }
        assertTrue(chunked.getOrDefault("HTTP/1.1 413").startsWith("HTTP/1.1 413"))
        assertTrue(upstream.bodies.isEmpty())
    }

    @Test
    fun `a body that arrives too slowly is refused`() {
        val answer = rawExchange(port, head("Content-Length: 100") + "{")
        assertTrue(answer.startsWith("HTTP/1.1 408"), answer)
    }

    @Test
    fun `bodies that are not requests are refused`() {
        listOf("", "{", "[]", "{}", """{"model":7}""", """{"model":"m","messages":3}""", "[".repeat(200_000))
            .forEach { assertEquals(400, entry.post("/v1/chat/completions", it).status, it.take(30)) }
    }

    /** An overflow of the stack while a request is parsed or written again leaves its caller without an answer. */
    @Test
    fun `deeply nested bodies are refused`() {
        val arrays = "[".repeat(100_000) + "]".repeat(100_000)
        val objects = """{"a":""".repeat(100_000) + "1" + "}".repeat(100_000)
        listOf(arrays, objects).forEach { nested ->
            listOf(nested, CHAT.replaceFirst("{", "{\"user\":$nested,"), """{"model":"m","messages":[$nested]}""")
                .plus("""{"model":"m","messages":[{"role":"user","content":$nested}]}""")
                .forEach { assertEquals(400, entry.post("/v1/chat/completions", it).status, it.take(60)) }
        }
    }

    @Test
    fun `wrong keys, classes, paths and deadlines are refused`() {
        fun status(vararg headers: String) =
            exchange(port, "POST", "/v1/chat/completions", CHAT, headers.toList()).status
        assertEquals(401, status())
        assertEquals(401, status("Authorization: Bearer crew.wrong"))
        assertEquals(401, status("Authorization: Bearer nobody.secret"))
        assertEquals(403, status("Authorization: Bearer mill.secret"))
        assertEquals(403, status("Authorization: Bearer $KEY", "Hawthorncrank-Class: other"))
        assertEquals(400, status("Authorization: Bearer $KEY", "Hawthorncrank-Deadline-Milliseconds: soon"))
        assertEquals(404, entry.post("/nowhere", "").status)
        assertEquals(404, entry.post("/bookingsx", "").status)
        assertEquals(
            405,
            exchange(port, "GET", "/v1/chat/completions", "", listOf("Authorization: Bearer $KEY")).status,
        )
    }

    private fun head(header: String) =
        "POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer $KEY\r\n$header\r\n\r\n"
}
