package hawthorncrank.control.internal

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import hawthorncrank.common.SettingsFailure
import org.reactivestreams.Publisher
import reactor.core.publisher.Mono
import reactor.netty.ChannelBindException
import reactor.netty.DisposableServer
import reactor.netty.http.server.HttpServer
import reactor.netty.http.server.HttpServerResponse
import java.time.Duration

/** Opens the port that serves /healthz, /readyz and /metrics. */
internal fun openOperationsPort(
    file: String,
    address: String,
    pages: OperationsPages,
): Result<DisposableServer, SettingsFailure> =
    try {
        Ok(
            HttpServer
                .create()
                .host(address.substringBeforeLast(':'))
                .port(address.substringAfterLast(':').toInt())
                .idleTimeout(Duration.ofMillis(IDLE_MILLISECONDS))
                .httpRequestDecoder { it.maxHeaderSize(HEADER_LIMIT_BYTES) }
                .route { routes ->
                    routes.get("/healthz") { _, response -> respondStatus(response, pages.healthProblem(), "healthy") }
                    routes.get("/readyz") { _, response -> respondStatus(response, pages.readinessProblem(), "ready") }
                    routes.get("/metrics") { _, response -> respond(response, HTTP_OK, METRICS_TYPE, pages.metrics()) }
                }.bindNow(),
        )
    } catch (_: ChannelBindException) {
        Err(SettingsFailure.PortInUse(file, "http_address", address))
    }

private fun respondStatus(
    response: HttpServerResponse,
    problem: String?,
    successText: String,
) = respond(response, if (problem == null) HTTP_OK else HTTP_UNAVAILABLE, PLAIN_TYPE, "${problem ?: successText}\n")

private fun respond(
    response: HttpServerResponse,
    status: Int,
    contentType: String,
    text: String,
): Publisher<Void> =
    response
        .status(status)
        .header("Content-Type", contentType)
        .sendByteArray(Mono.just(text.encodeToByteArray()))

private const val IDLE_MILLISECONDS = 15_000L
private const val HEADER_LIMIT_BYTES = 16 * 1024
private const val HTTP_OK = 200
private const val HTTP_UNAVAILABLE = 503
private const val PLAIN_TYPE = "text/plain; charset=utf-8"
private const val METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
