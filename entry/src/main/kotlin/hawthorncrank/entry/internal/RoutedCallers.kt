package hawthorncrank.entry.internal

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import hawthorncrank.entry.ExchangeProtocol
import hawthorncrank.entry.core.StatedOutcome
import io.netty.handler.codec.http.HttpHeaderNames
import reactor.core.publisher.Mono
import reactor.core.scheduler.Schedulers
import reactor.netty.http.server.HttpServerRequest

/** The API for callers of the configuration's routes, with the headers that [protocol] defines. */
internal fun routedCallers(protocol: ExchangeProtocol): CallerInterface {
    val admission = RoutedAdmission(protocol)
    return CallerInterface(
        admit = { request, view -> Mono.just(admission.admit(request, view)) },
        readOn = Schedulers.immediate(),
        refusals = routedRefusals(protocol),
        identifierOf = { protocol.readCallerHeaders(it).identifier },
    )
}

private class RoutedAdmission(
    private val protocol: ExchangeProtocol,
) {
    fun admit(
        request: HttpServerRequest,
        view: ConfigurationView,
    ): Result<AdmittedCaller, Rejection> {
        val headers = request.requestHeaders()
        val path = request.uri().substringBefore('?')
        val route = view.requestRoute(headers.get(HttpHeaderNames.HOST), path) ?: return Err(Rejection.NoRoute)
        val caller = protocol.readCallerHeaders(headers)
        val found = caller.key?.let(view.organisations::findByDigest) ?: view.anonymous.takeIf { route.anonymous }
        val organisation = found ?: return Err(Rejection.InvalidRouteKey)
        val reader = RoutedRequestReader(protocol, view, route, caller)
        return Ok(AdmittedCaller(organisation) { received, number -> Ok(reader.read(received, number)) })
    }
}

private fun routedRefusals(protocol: ExchangeProtocol): RefusalFormat {
    fun translated(
        answer: CallerAnswer.Complete,
        outcome: StatedOutcome,
        retryAfterMilliseconds: Long?,
    ): CallerAnswer.Complete {
        val headers =
            answer.headers.filter { (name, _) -> name != RETRY_AFTER } +
                listOfNotNull(retryAfterMilliseconds?.let { RETRY_AFTER to protocol.formatRetryAfter(it) })
        return CallerAnswer.Complete(protocol.refusalStatus(answer.status, outcome), headers, answer.body)
    }
    return RefusalFormat(
        refusal = { translated(refusalAnswer(it), it.outcome, it.retryAfterMilliseconds) },
        rejection = { translated(rejectionAnswer(it), StatedOutcome.NOT_RUN, it.retryAfterMilliseconds) },
    )
}
