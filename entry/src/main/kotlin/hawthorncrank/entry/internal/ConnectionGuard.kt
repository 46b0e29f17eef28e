package hawthorncrank.entry.internal

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/**
 * Closes a connection that does not send a whole request head in time, however slowly it trickles, and gives the HTTP
 * codec's bare refusals of malformed or oversized heads a body that says what is wrong.
 */
internal class ConnectionGuard(
    private val headMilliseconds: Long,
    private val idleMilliseconds: Long,
) : ChannelDuplexHandler() {
    private var deadline: ScheduledFuture<*>? = null

    override fun handlerAdded(context: ChannelHandlerContext) = expectHead(context, headMilliseconds)

    override fun handlerRemoved(context: ChannelHandlerContext) {
        deadline?.cancel(false)
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        if (message is HttpRequest) deadline?.cancel(false)
        super.channelRead(context, message)
    }

    override fun write(
        context: ChannelHandlerContext,
        message: Any,
        promise: ChannelPromise,
    ) {
        if (message is LastHttpContent) expectHead(context, idleMilliseconds)
        val explained = if (message is FullHttpResponse) explain(message) else message
        super.write(context, explained, promise)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        deadline?.cancel(false)
        super.channelInactive(context)
    }

    private fun expectHead(
        context: ChannelHandlerContext,
        milliseconds: Long,
    ) {
        deadline?.cancel(false)
        deadline = context.executor().schedule({ context.close() }, milliseconds, TimeUnit.MILLISECONDS)
    }

    private fun explain(response: FullHttpResponse): FullHttpResponse {
        val status = response.status()
        if (status !in EXPLAINED || response.content().isReadable) return response
        val body = Unpooled.wrappedBuffer(problemBody(problem(status), REMEDY).toByteArray())
        val explained = DefaultFullHttpResponse(response.protocolVersion(), status, body)
        explained.headers().set(response.headers())
        explained.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        explained.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        response.release()
        return explained
    }

    private fun problem(status: HttpResponseStatus): String =
        when (status) {
            HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE -> "the request's headers exceed 16 KiB"
            HttpResponseStatus.REQUEST_URI_TOO_LONG -> "the request line exceeds 8 KiB"
            else -> "the request is not valid HTTP"
        }

    companion object {
        const val REMEDY = "send a well-formed HTTP/1.1 request with headers of at most 16 KiB in total"
        private val EXPLAINED =
            setOf(
                HttpResponseStatus.BAD_REQUEST,
                HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                HttpResponseStatus.REQUEST_URI_TOO_LONG,
                HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
            )
    }
}
