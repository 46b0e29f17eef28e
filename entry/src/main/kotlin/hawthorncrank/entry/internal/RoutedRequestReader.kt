package hawthorncrank.entry.internal

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import hawthorncrank.entry.CallerHeaders
import hawthorncrank.entry.ExchangeProtocol
import hawthorncrank.entry.PromptPart
import hawthorncrank.entry.UpstreamCall
import hawthorncrank.entry.core.CallerRequest
import hawthorncrank.entry.core.RepetitionRule
import hawthorncrank.entry.core.RequestTarget
import hawthorncrank.protocol.ANONYMOUS_ORGANISATION
import hawthorncrank.protocol.Repetition
import hawthorncrank.protocol.RequestRoute
import hawthorncrank.protocol.routeClassName
import io.netty.handler.codec.http.HttpHeaderNames

/** Describes a request on a route to the control thread, and says what each attempt of it sends. */
internal class RoutedRequestReader(
    private val protocol: ExchangeProtocol,
    private val now: () -> Long,
) {
    fun read(
        view: ConfigurationView,
        received: ReceivedRequest,
        number: Long,
    ): Result<ReadRequest, CallerAnswer.Whole> {
        val route =
            view.requestRoute(received.headers.get(HttpHeaderNames.HOST), received.path)
                ?: return Err(rejectionAnswer(Rejection.NoRoute))
        val caller = protocol.readCaller(received.headers)
        val decision = decision(view, received, route, caller, number)
        return Ok(ReadRequest(decision, outgoing(received, route, caller)))
    }

    private fun decision(
        view: ConfigurationView,
        received: ReceivedRequest,
        route: RequestRoute,
        caller: CallerHeaders,
        number: Long,
    ): CallerRequest {
        val className = routeClassName(route.serviceLevel, received.organisation.tier ?: route.tier)
        val allowed = listOfNotNull(caller.timeLeftMilliseconds, view.trafficClass(className)?.finishBy?.value)
        return CallerRequest(
            number = number,
            organisation = received.organisation.name,
            className = className,
            target = target(view, destination(route, caller.identifier), caller, route.idempotent),
            contentDigest =
                contentDigest(received.organisation.name, "${received.method} ${received.uri}", received.body),
            bodyBytes = received.body.size,
            streamed = route.streamed,
            finishBy = allowed.minOrNull()?.let { now() + it },
            identifier = caller.identifier,
            repetition =
                RepetitionRule(
                    route.idempotent,
                    route.repetition == Repetition.RESUMABLE,
                    route.engineAttempts,
                ),
        )
    }

    private fun target(
        view: ConfigurationView,
        service: String,
        caller: CallerHeaders,
        idempotent: Boolean,
    ): RequestTarget =
        if (view.servesModels(service)) {
            RequestTarget.Model(
                model = service,
                promptTokens = caller.promptTokens,
                maximumTokens = caller.maximumTokens,
                prefixBlocks = prefixBlocks(caller.promptParts),
                // The last part belongs to the request itself.
                sharedTokens = caller.promptParts.dropLast(1).sumOf { it.tokens },
            )
        } else {
            RequestTarget.Service(service, idempotent, idempotencyKey = null)
        }

    /** Digests of the growing prompt: a part is shared only where all parts before it are. */
    private fun prefixBlocks(parts: List<PromptPart>): List<Long> {
        var digest = 0L
        return parts.map { part ->
            digest = digest * DIGEST_FACTOR + part.identifier
            digest
        }
    }

    /** The identifier of the request decides, so that it goes to the same service whichever attempt is made. */
    private fun destination(
        route: RequestRoute,
        identifier: String,
    ): String {
        val total = route.destinations.sumOf { it.weight }
        var position = Math.floorMod(identifier.hashCode(), total)
        return route.destinations
            .first { destination ->
                position -= destination.weight
                position < 0
            }.service
    }

    private fun outgoing(
        received: ReceivedRequest,
        route: RequestRoute,
        caller: CallerHeaders,
    ): OutgoingRequest {
        val organisation = received.organisation.name.takeIf { it != ANONYMOUS_ORGANISATION }
        val host = received.headers.get(HttpHeaderNames.HOST)
        val passed =
            outgoingHeaders(received.headers).filter { (name, _) -> name.lowercase() !in protocol.withheldHeaders }
        return OutgoingRequest(
            method = received.method,
            uri = received.uri,
            headers = passed + ("Host" to host),
            idempotent = route.idempotent,
            streamed = route.streamed,
            form = form(caller, organisation, route),
            body = { _, _ -> received.body },
        )
    }

    private fun form(
        caller: CallerHeaders,
        organisation: String?,
        route: RequestRoute,
    ): ExchangeForm =
        ExchangeForm(
            attemptHeaders = { attempt, lastEvent ->
                protocol.writeCall(
                    UpstreamCall(
                        attempt.upstream,
                        organisation,
                        attempt.priority,
                        attempt.deadlineMilliseconds,
                        lastEvent ?: caller.lastEvent,
                    ),
                )
            },
            readReply = { status, headers -> protocol.readReply(caller.identifier, status, headers) },
            framing = StreamFraming.NumberedEvents,
            streamHeaders = ::forwardedHeaders,
            errorEvent = null,
            release =
                if (route.idempotent) AnswerRelease.FAILURES_WHEN_DECIDED else AnswerRelease.AT_ONCE,
        )

    private val RequestRoute.idempotent: Boolean
        get() = repetition != Repetition.AT_MOST_ONCE

    private companion object {
        // Any odd factor keeps different chains apart; in this one the bits are well spread.
        const val DIGEST_FACTOR = -0x2e5b_e9b4_6a3d_4d2bL
    }
}
