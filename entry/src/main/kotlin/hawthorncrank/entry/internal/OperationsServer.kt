package hawthorncrank.entry.internal

import io.netty.handler.codec.http.HttpHeaderNames
import org.reactivestreams.Publisher
import reactor.core.publisher.Mono
import reactor.netty.http.server.HttpServerRequest
import reactor.netty.http.server.HttpServerResponse

/** Whether the load balancer should send requests to this entry, and why. */
internal data class Readiness(
    val ready: Boolean,
    val reason: String,
)

/** Answers /metrics, /healthz and /readyz. */
internal class OperationsServer(
    private val metrics: EntryMetrics,
    private val readiness: () -> Readiness,
) {
    fun handle(
        request: HttpServerRequest,
        response: HttpServerResponse,
    ): Publisher<Void> =
        when ("${request.method()} /${request.path().trim('/')}") {
            "GET /metrics" -> answer(response, HTTP_OK, "text/plain; version=0.0.4", metrics.scrape())
            "GET /healthz" -> answer(response, HTTP_OK, PLAIN, "healthy\n")
            "GET /readyz" ->
                readiness().let {
                    answer(
                        response,
                        if (it.ready) HTTP_OK else HTTP_UNAVAILABLE,
                        PLAIN,
                        "${it.reason}\n",
                    )
                }
            else -> answer(response, HTTP_NOT_FOUND, PLAIN, "no such path; use GET /metrics, /healthz or /readyz\n")
        }

    private fun answer(
        response: HttpServerResponse,
        status: Int,
        contentType: String,
        text: String,
    ): Publisher<Void> {
        val body = text.toByteArray()
        return response
            .status(status)
            .header(HttpHeaderNames.CONTENT_TYPE, contentType)
            .header(HttpHeaderNames.CONTENT_LENGTH, body.size.toString())
            .sendByteArray(Mono.just(body))
    }

    private companion object {
        const val PLAIN = "text/plain; charset=utf-8"
        const val HTTP_NOT_FOUND = 404
    }
}
