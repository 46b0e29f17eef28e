package hawthorncrank.entry.internal

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import hawthorncrank.protocol.Organisation
import io.netty.handler.codec.http.HttpHeaderNames
import reactor.core.publisher.Mono
import reactor.core.scheduler.Schedulers
import reactor.netty.http.server.HttpServerRequest

/** The product's own API for callers: bearer keys, chat completions and the paths of plain services. */
internal fun nativeCallers(keys: ApiKeyAuthenticator): CallerInterface {
    val format = nativeExchangeFormat()
    return CallerInterface(
        admit = { request, view ->
            val reader = RequestReader(view, format)
            bearerOrganisation(request, view, keys).map { result -> result.map { AdmittedCaller(it, reader::read) } }
        },
        // Parsing a large completion request must not delay the streams on the event loop.
        readOn = Schedulers.parallel(),
        refusals = RefusalFormat(::refusalAnswer, ::rejectionAnswer),
    )
}

private fun bearerOrganisation(
    request: HttpServerRequest,
    view: ConfigurationView,
    keys: ApiKeyAuthenticator,
): Mono<Result<Organisation, Rejection>> {
    val key = bearerKey(request) ?: return Mono.just(Err(Rejection.MissingApiKey))
    return keys.organisationOf(key, view.organisations)
}

private fun bearerKey(request: HttpServerRequest): String? {
    val header = request.requestHeaders().get(HttpHeaderNames.AUTHORIZATION) ?: return null
    if (!header.startsWith(BEARER, ignoreCase = true)) return null
    return header.substring(BEARER.length).trim().ifEmpty { null }
}

private const val BEARER = "Bearer "
