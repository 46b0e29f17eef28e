package hawthorncrank.emulator.internal

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames
import org.reactivestreams.Publisher
import reactor.core.publisher.Flux
import reactor.core.publisher.Sinks
import reactor.netty.http.server.HttpServerResponse

/** Writes one completion to its caller and cancels it when the caller disconnects. */
internal class CompletionResponse(
    private val engine: Engine,
    private val request: CompletionRequest,
    private val response: HttpServerResponse,
    private val isSilenced: () -> Boolean,
) : CompletionOutput {
    private val responsePublisher = Sinks.one<Publisher<Void>>()
    private val bytes = Sinks.many().unicast().onBackpressureBuffer<ByteArray>()
    private lateinit var format: StreamFormat
    private var skippedBytes = 0

    fun publisher(): Publisher<Void> {
        val completion = engine.complete(request, this)
        return responsePublisher.asMono().flatMapMany { it }.doOnCancel { completion.close() }
    }

    override fun accepted(
        answer: AnswerText,
        load: EngineLoad,
        resumeToken: String?,
    ) {
        format = StreamFormat(answer, request.model)
        skippedBytes = request.resume?.let { format.position(it.offset).skippedBytes } ?: 0
        response.header("Hawthorncrank-Load", json.encodeToString(EngineLoad.serializer(), load))
        resumeToken?.let { response.header("Hawthorncrank-Resume-Token", it) }
        if (!request.streamed) return
        val body: Flux<ByteArray> = bytes.asFlux().filter { !isSilenced() }
        response.header(HttpHeaderNames.CONTENT_TYPE, "text/event-stream")
        responsePublisher.tryEmitValue(response.send(body.map { Unpooled.wrappedBuffer(it) }) { true })
    }

    override fun token(index: Int) {
        if (request.streamed) emit(format.chunk(index))
    }

    override fun finished() {
        if (request.streamed) {
            emit(format.finalEvents())
            bytes.tryEmitComplete()
        } else {
            val promptTokens = request.prompt.length / CHARACTERS_PER_TOKEN
            responsePublisher.tryEmitValue(response.answer(HTTP_OK, format.completeBody(promptTokens)))
        }
    }

    override fun refused(
        status: Int,
        problem: String,
    ) {
        responsePublisher.tryEmitValue(response.refuse(status, problem))
    }

    private fun emit(chunk: ByteArray) {
        val skipped = minOf(skippedBytes, chunk.size)
        skippedBytes -= skipped
        if (skipped < chunk.size) bytes.tryEmitNext(chunk.copyOfRange(skipped, chunk.size))
    }
}

internal const val CHARACTERS_PER_TOKEN = 4
