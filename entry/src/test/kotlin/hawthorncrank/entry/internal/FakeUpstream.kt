package hawthorncrank.entry.internal

import org.reactivestreams.Publisher
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import reactor.netty.http.server.HttpServer
import reactor.netty.http.server.HttpServerRequest
import reactor.netty.http.server.HttpServerResponse
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch

/** An upstream that answers with [answer] and records the requests that it received. */
internal class FakeUpstream(
    private val answer: (HttpServerRequest, HttpServerResponse, String) -> Publisher<Void>,
) : AutoCloseable {
    val bodies = CopyOnWriteArrayList<String>()
    val headers = CopyOnWriteArrayList<Map<String, String>>()
    val abandoned = CountDownLatch(1)
    private val server =
        HttpServer
            .create()
            .host("127.0.0.1")
            .port(0)
            .handle { request, response ->
                request.receive().aggregate().asString().defaultIfEmpty("").flatMapMany { body ->
                    bodies += body
                    headers += request.requestHeaders().associate { it.key.lowercase() to it.value }
                    Flux.from(answer(request, response, body)).doOnCancel { abandoned.countDown() }
                }
            }.bindNow()

    val port: Int = server.port()

    override fun close() = server.disposeNow()

    companion object {
        fun event(text: String) = "data: {\"delta\":{\"content\":\"$text\"}}\n\n"

        const val DONE = "data: [DONE]\n\n"

        fun streaming(parts: Flux<String>) =
            FakeUpstream { _, response, _ ->
                response.header(CONTENT_TYPE, "text/event-stream").sendStringFlushing(parts)
            }

        fun HttpServerResponse.sendStringFlushing(parts: Flux<String>): Publisher<Void> =
            send(
                parts.map {
                    io.netty.buffer.Unpooled
                        .copiedBuffer(it.toByteArray())
                },
            ) { true }

        fun answering(
            status: Int,
            body: String,
        ) = FakeUpstream { _, response, _ ->
            response.status(status).header(CONTENT_TYPE, "application/json").sendString(Mono.just(body))
        }

        /** Sends [parts] and then closes the connection before the end of the answer, as a crashed engine does. */
        fun breaking(parts: List<String>) =
            FakeUpstream { request, response, _ ->
                response
                    .header(CONTENT_TYPE, "text/event-stream")
                    .header(RESUME_TOKEN_HEADER, "stream-1")
                    .sendStringFlushing(
                        Flux.fromIterable(parts).concatWith(
                            Flux.never<String>().doOnSubscribe { request.withConnection { it.channel().close() } },
                        ),
                    )
            }
    }
}
