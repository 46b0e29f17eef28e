package hawthorncrank.entry.internal

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import reactor.netty.Connection
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against bytes after an answer that become the beginning of the next one. */
class AnswerDecoderTest {
    private val channel = EmbeddedChannel(UpstreamCodec())

    @Test
    fun `a connection with bytes after a complete answer is not used again`() {
        for (answer in listOf(
            "Content-Length: 2\r\n\r\nok",
            "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        )) {
            val channel = EmbeddedChannel(UpstreamCodec())
            request(channel, HttpMethod.POST)
            receive(channel, "HTTP/1.1 200 OK\r\n${answer}HTTP/1.1 503 ")
            assertFalse(Connection.from(channel).isPersistent)
            assertEquals(listOf(200), statuses(channel))
        }
    }

    @Test
    fun `a connection with nothing after its answers is used again`() {
        repeat(2) {
            request(channel, HttpMethod.POST)
            receive(channel, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        }
        assertTrue(channel.isActive && Connection.from(channel).isPersistent)
        assertEquals(listOf(200, 200), statuses(channel))
    }

    @Test
    fun `bytes on a connection without a request close it`() {
        receive(channel, "HTTP/1.1 503 ")
        assertFalse(channel.isActive)
        assertEquals(emptyList(), statuses(channel))
    }

    @Test
    fun `an interim answer is followed by the answer`() {
        request(channel, HttpMethod.POST)
        receive(channel, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        assertEquals(listOf(100, 200), statuses(channel))
        assertTrue(Connection.from(channel).isPersistent)
    }

    @Test
    fun `the answer to a HEAD request has no body whatever its length says`() {
        request(channel, HttpMethod.HEAD)
        receive(channel, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n")
        request(channel, HttpMethod.GET)
        receive(channel, "HTTP/1.1 204 No Content\r\n\r\n")
        assertEquals(listOf(200, 204), statuses(channel))
    }

    private fun request(
        channel: EmbeddedChannel,
        method: HttpMethod,
    ) = channel.writeOutbound(DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/", Unpooled.EMPTY_BUFFER))

    private fun receive(
        channel: EmbeddedChannel,
        text: String,
    ) = channel.writeInbound(Unpooled.copiedBuffer(text, Charsets.US_ASCII))

    private fun statuses(channel: EmbeddedChannel): List<Int> =
        generateSequence { channel.readInbound<Any>() }
            .filterIsInstance<HttpResponse>()
            .map { it.status().code() }
            .toList()
}
