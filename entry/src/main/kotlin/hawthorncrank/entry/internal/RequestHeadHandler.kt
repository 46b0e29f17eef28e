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
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/**
 * Closes a connection that does not send a complete request head in time, even if bytes keep arriving. Also adds a body
 * that describes the problem to the empty responses with which the HTTP codec refuses malformed or oversized heads.
 */
internal class RequestHeadHandler(
    private val headMilliseconds: Long,
    private val idleMilliseconds: Long,
) : ChannelDuplexHandler() {
    private var deadline: ScheduledFuture<*>? = null
    private var unanswered = 0

    override fun handlerAdded(context: ChannelHandlerContext) = expectHead(context, headMilliseconds)

    override fun handlerRemoved(context: ChannelHandlerContext) {
        deadline?.cancel(false)
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        if (message is HttpRequest) {
            unanswered++
            deadline?.cancel(false)
        }
        super.channelRead(context, message)
    }

    override fun write(
        context: ChannelHandlerContext,
        message: Any,
        promise: ChannelPromise,
    ) {
        if (endsAnswer(message) && --unanswered == 0) expectHead(context, idleMilliseconds)
        val outgoing = if (message is FullHttpResponse) addProblemBody(message) else message
        super.write(context, outgoing, promise)
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

    private fun addProblemBody(response: FullHttpResponse): FullHttpResponse {
        val status = response.status()
        if (status !in STATUSES_WITH_PROBLEM_BODY || response.content().isReadable) return response
        val body = Unpooled.wrappedBuffer(problemBody(problem(status), REMEDY).toByteArray())
        val replacement = DefaultFullHttpResponse(response.protocolVersion(), status, body)
        replacement.headers().set(response.headers())
        replacement.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        replacement.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        response.release()
        return replacement
    }

    private fun problem(status: HttpResponseStatus): String =
        when (status) {
            HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE -> "the request's headers exceed 16 KiB"
            HttpResponseStatus.REQUEST_URI_TOO_LONG -> "the request line exceeds 8 KiB"
            else -> "the request is not valid HTTP"
        }

    companion object {
        const val REMEDY = "send a well-formed HTTP/1.1 request with headers of at most 16 KiB in total"
        private val STATUSES_WITH_PROBLEM_BODY =
            setOf(
                HttpResponseStatus.BAD_REQUEST,
                HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                HttpResponseStatus.REQUEST_URI_TOO_LONG,
                HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
            )
    }
}
