package hawthorncrank.entry.internal

import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.handler.codec.http.HttpRequest

/** One connection of a caller. Counts the requests whose head was read and whose answer was not yet written to the socket. */
internal class CallerConnection(
    private val opened: (CallerConnection) -> Unit,
    private val closed: (CallerConnection) -> Unit,
) : ChannelDuplexHandler() {
    /** Written on the event loop of the connection only. */
    @Volatile var unanswered = 0
        private set

    private lateinit var context: ChannelHandlerContext
    private var closesAfterAnswer = false

    /** Closes the connection once it has no request without a complete answer. */
    fun closeWhenAnswered() =
        context.executor().execute {
            closesAfterAnswer = true
            closeIfAnswered()
        }

    fun closeNow() {
        context.close()
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
        opened(this)
    }

    override fun handlerRemoved(context: ChannelHandlerContext) = closed(this)

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        if (message is HttpRequest) unanswered++
        super.channelRead(context, message)
    }

    override fun write(
        context: ChannelHandlerContext,
        message: Any,
        promise: ChannelPromise,
    ) {
        if (!endsAnswer(message)) return super.write(context, message, promise)
        super.write(context, message, promise.unvoid().addListener { answered() })
    }

    private fun answered() {
        unanswered--
        closeIfAnswered()
    }

    private fun closeIfAnswered() {
        if (closesAfterAnswer && unanswered == 0) context.close()
    }
}
