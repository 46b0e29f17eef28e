package hawthorncrank.emulator.internal

import io.netty.handler.codec.http.HttpHeaderNames
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import org.reactivestreams.Publisher
import reactor.core.publisher.Mono
import reactor.netty.http.server.HttpServerRequest
import reactor.netty.http.server.HttpServerResponse

internal val json = Json { ignoreUnknownKeys = false }

internal fun HttpServerResponse.answer(
    status: Int,
    body: JsonElement,
): Publisher<Void> = answer(status, body.toString().toByteArray())

internal fun HttpServerResponse.answer(
    status: Int,
    body: ByteArray,
): Publisher<Void> =
    status(status)
        .header(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .header(HttpHeaderNames.CONTENT_LENGTH, body.size.toString())
        .sendByteArray(Mono.just(body))

internal fun HttpServerResponse.refuse(
    status: Int,
    problem: String,
): Publisher<Void> = answer(status, buildJsonObject { putJsonObject("error") { put("problem", problem) } })

internal fun HttpServerRequest.readBody(): Mono<ByteArray> =
    receive().aggregate().asByteArray().defaultIfEmpty(ByteArray(0))

/** Decodes the body and answers 400 when it does not decode to [T]. */
internal inline fun <reified T> HttpServerRequest.decodeBody(
    response: HttpServerResponse,
    crossinline use: (T) -> Publisher<Void>,
): Publisher<Void> =
    readBody().flatMapMany { body ->
        try {
            use(json.decodeFromString<T>(body.decodeToString()))
        } catch (failure: IllegalArgumentException) {
            response.refuse(
                HTTP_BAD_REQUEST,
                failure.message
                    .orEmpty()
                    .lineSequence()
                    .first(),
            )
        }
    }

internal const val HTTP_OK = 200
internal const val HTTP_BAD_REQUEST = 400
internal const val HTTP_NOT_FOUND = 404
internal const val HTTP_CONFLICT = 409
internal const val HTTP_UNAVAILABLE = 503
