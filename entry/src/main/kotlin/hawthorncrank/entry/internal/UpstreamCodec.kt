package hawthorncrank.entry.internal

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.channel.CombinedChannelDuplexHandler
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.LastHttpContent

/** Encodes requests to an upstream and decodes its answers, so that each answer is matched to a request. */
internal class UpstreamCodec private constructor(
    private val answers: AnswerDecoder,
) : CombinedChannelDuplexHandler<AnswerDecoder, HttpRequestEncoder>(answers, HttpRequestEncoder()) {
    constructor() : this(AnswerDecoder())

    /** Reports the progress of the next exchange on this connection to [progress]. */
    fun begin(progress: ExchangeProgress) = answers.begin(progress)

    override fun write(
        context: ChannelHandlerContext,
        message: Any,
        promise: ChannelPromise,
    ) {
        if (message is HttpRequest) answers.requestSent(message.method())
        if (message !is LastHttpContent) return super.write(context, message, promise)
        val progress = answers.currentProgress()
        super.write(context, message, promise.unvoid().addListener { progress.requestWritten = it.isSuccess })
    }
}
