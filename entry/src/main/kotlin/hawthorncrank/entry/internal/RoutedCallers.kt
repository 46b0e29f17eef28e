package hawthorncrank.entry.internal

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import hawthorncrank.entry.ExchangeProtocol
import hawthorncrank.entry.core.StatedOutcome
import hawthorncrank.protocol.Organisation
import io.netty.handler.codec.http.HttpHeaderNames
import reactor.core.publisher.Mono
import reactor.core.scheduler.Schedulers
import reactor.netty.http.server.HttpServerRequest

/** The interface to callers of the configuration's routes, as [protocol] writes it. */
internal fun routedCallers(
    keys: KeyRing,
    protocol: ExchangeProtocol,
    now: () -> Long,
): CallerInterface {
    val reader = RoutedRequestReader(protocol, now)
    return CallerInterface(
        organisationOf = { request, view -> Mono.just(routedOrganisation(request, view, keys, protocol)) },
        read = reader::read,
        readOn = Schedulers.immediate(),
        refusals = routedRefusals(protocol),
        identifierOf = { protocol.readCaller(it).identifier },
    )
}

private fun routedOrganisation(
    request: HttpServerRequest,
    view: ConfigurationView,
    keys: KeyRing,
    protocol: ExchangeProtocol,
): Result<Organisation, Rejection> {
    val headers = request.requestHeaders()
    val path = request.uri().substringBefore('?')
    val route = view.requestRoute(headers.get(HttpHeaderNames.HOST), path) ?: return Err(Rejection.NoRoute)
    val owner = protocol.readCaller(headers).key?.let(keys::ownerOf)
    val caller = owner ?: view.anonymous.takeIf { route.anonymous }
    return if (caller == null) Err(Rejection.NoRouteKey) else Ok(caller)
}

private fun routedRefusals(protocol: ExchangeProtocol): RefusalForm {
    fun translated(
        answer: CallerAnswer.Whole,
        outcome: StatedOutcome,
        retryAfterMilliseconds: Long?,
    ): CallerAnswer.Whole {
        val headers =
            answer.headers.filter { (name, _) -> name != RETRY_AFTER } +
                listOfNotNull(retryAfterMilliseconds?.let { RETRY_AFTER to protocol.retryAfter(it) })
        return CallerAnswer.Whole(protocol.refusalStatus(answer.status, outcome), headers, answer.body)
    }
    return RefusalForm(
        refusal = { translated(refusalAnswer(it), it.outcome, it.retryAfterMilliseconds) },
        rejection = { translated(rejectionAnswer(it), StatedOutcome.NOT_RUN, it.retryAfterMilliseconds) },
    )
}
