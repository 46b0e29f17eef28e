package hawthorncrank.entry.internal

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.LastHttpContent
import reactor.netty.Connection

/**
 * Decodes the answers on one connection to an upstream, on which each request gets one answer. Bytes after a complete
 * answer belong to no request, and the next answer would be decoded as their continuation. They are discarded, and the
 * connection is not used again. An answer that only the end of its connection delimits is complete if the whole request
 * was written before: an upstream that ends the connection earlier may have failed. What arrives with a status that HTTP
 * does not have is no answer.
 */
internal class AnswerDecoder : HttpResponseDecoder() {
    private var awaited: HttpMethod? = null
    private var interim = false
    private var progress = ExchangeProgress()

    /** Reports what becomes of the next request to [next]. */
    fun begin(next: ExchangeProgress) {
        progress = next
    }

    fun requestSent(method: HttpMethod) {
        awaited = method
    }

    /** Returns the progress of the exchange whose request is being written. */
    fun currentProgress(): ExchangeProgress = progress

    override fun decode(
        context: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        if (awaited == null) {
            buffer.skipBytes(buffer.readableBytes())
            context.close()
            return
        }
        super.decode(context, buffer, out)
        out.forEach { decoded ->
            if (decoded is HttpResponse) interim = decoded.status().codeClass() == HttpStatusClass.INFORMATIONAL
        }
        if (out.any { it is HttpResponse && it.decoderResult().isFailure }) return discardRest(context, buffer)
        if (!interim && out.lastOrNull() is LastHttpContent) answerEnded(context, buffer)
    }

    override fun decodeLast(
        context: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        super.decodeLast(context, buffer, out)
        if (out.lastOrNull() is LastHttpContent && progress.requestWritten) progress.answerComplete = true
    }

    /** The superclass accepts every number as a status. An exception makes it pass on an invalid message instead. */
    override fun createMessage(initialLine: Array<String>): HttpMessage {
        require(STATUS.matches(initialLine[1])) { "an answer has an invalid status" }
        return super.createMessage(initialLine)
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        awaited == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)

    private fun answerEnded(
        context: ChannelHandlerContext,
        buffer: ByteBuf,
    ) {
        awaited = null
        progress.answerComplete = true
        if (buffer.isReadable) discardRest(context, buffer)
    }

    /** Bytes that still arrive belong to no answer, so the connection is closed when there are some. */
    private fun discardRest(
        context: ChannelHandlerContext,
        buffer: ByteBuf,
    ) {
        awaited = null
        buffer.skipBytes(buffer.readableBytes())
        Connection.from(context.channel()).markPersistent(false)
    }

    private companion object {
        /** Three digits from 100 to 599. */
        val STATUS = Regex("[1-5][0-9]{2}")
    }
}
