package hawthorncrank.entry.internal

import hawthorncrank.entry.CallerHeaders
import hawthorncrank.entry.ExchangeProtocol
import hawthorncrank.entry.PromptPart
import hawthorncrank.entry.ResumedStream
import hawthorncrank.entry.UpstreamCall
import hawthorncrank.entry.UpstreamReply
import hawthorncrank.entry.core.CallerRequest
import hawthorncrank.entry.core.Refusal
import hawthorncrank.entry.core.RequestTarget
import hawthorncrank.entry.core.RetryPolicy
import hawthorncrank.entry.core.StreamResumption
import hawthorncrank.protocol.ANONYMOUS_ORGANISATION
import hawthorncrank.protocol.Repetition
import hawthorncrank.protocol.RequestRoute
import hawthorncrank.protocol.routeClassName
import io.netty.handler.codec.http.HttpHeaderNames

/** Converts one routed request for the control thread and determines what each attempt sends. */
internal class RoutedRequestReader(
    private val protocol: ExchangeProtocol,
    private val view: ConfigurationView,
    private val route: RequestRoute,
    private val caller: CallerHeaders,
) {
    private val idempotent = route.repetition != Repetition.AT_MOST_ONCE

    fun read(
        received: ReceivedRequest,
        number: Long,
    ): ParsedRequest = ParsedRequest(callerRequest(received, number), outgoing(received)) { relayed(received) }

    private fun callerRequest(
        received: ReceivedRequest,
        number: Long,
    ): CallerRequest {
        val className = routeClassName(route.serviceLevel, received.organisation.tier ?: route.tier)
        val allowed = listOfNotNull(caller.timeLeftMilliseconds, view.trafficClass(className)?.finishBy?.value)
        return CallerRequest(
            number = number,
            organisation = received.organisation.name,
            className = className,
            target = target(destination()),
            contentDigest =
                contentDigest(received.organisation.name, "${received.method} ${received.uri}", received.body),
            bodyBytes = received.body.size,
            streamed = route.streamed,
            finishBy = allowed.minOrNull()?.let { received.receivedAt + it },
            identifier = caller.identifier,
            retryPolicy =
                RetryPolicy(idempotent, route.repetition == Repetition.RESUMABLE, route.engineAttempts),
            routeTier = route.tier,
            // The last part is specific to this request and not shared.
            sharedParts = caller.promptParts.dropLast(1).map { it.identifier.toULong().toString(HEXADECIMAL) },
            configurationVersion = view.version,
            relayed = received.relayed,
            resumption = resumption(),
        )
    }

    private fun resumption(): StreamResumption? {
        val continues = route.streamed && caller.lastEventIdentifier != null
        return if (continues) StreamResumption(caller.resumes) else null
    }

    private fun target(service: String): RequestTarget {
        val promptTokens = caller.promptTokens.coerceIn(0, MAXIMUM_PROMPT_TOKENS)
        return if (view.servesModels(service)) {
            RequestTarget.Model(
                model = service,
                promptTokens = promptTokens,
                maximumTokens = caller.maximumTokens,
                prefixBlocks = prefixBlocks(caller.promptParts),
                sharedTokens = sharedTokens().coerceIn(0, promptTokens.toLong()).toInt(),
            )
        } else {
            RequestTarget.Service(service, idempotent, idempotencyKey = null)
        }
    }

    // The last part is specific to this request and not shared.
    private fun sharedTokens(): Long = caller.promptParts.dropLast(1).sumOf { it.tokens.toLong() }

    /** Chained digests of the prompt's parts: a part can be shared only if all parts before it are shared. */
    private fun prefixBlocks(parts: List<PromptPart>): List<Long> {
        var digest = 0L
        return parts.map { part ->
            digest = digest * DIGEST_FACTOR + part.identifier
            digest
        }
    }

    /**
     * Chooses by weight and by a hash of the caller's identifier, so that every attempt which the entry makes for this
     * request goes to the same service.
     */
    private fun destination(): String {
        val total = route.destinations.sumOf { it.weight }
        var position = Math.floorMod(caller.identifier.hashCode(), total)
        return route.destinations
            .first { destination ->
                position -= destination.weight
                position < 0
            }.service
    }

    private fun outgoing(received: ReceivedRequest): OutgoingRequest {
        val organisation = received.organisation.name.takeIf { it != ANONYMOUS_ORGANISATION }
        val forwarded =
            outgoingHeaders(received.headers).filter { (name, _) -> name.lowercase() !in protocol.strippedHeaders }
        return outgoing(received, forwarded, exchangeFormat(organisation))
    }

    /** The request as the caller sent it, including its key, for an entry that decides on it in place of this one. */
    private fun relayed(received: ReceivedRequest) =
        outgoing(received, outgoingHeaders(received.headers), relayFormat())

    private fun outgoing(
        received: ReceivedRequest,
        headers: List<Pair<String, String>>,
        format: ExchangeFormat,
    ) = OutgoingRequest(
        method = received.method,
        uri = received.uri,
        headers = headers + ("Host" to received.headers.get(HttpHeaderNames.HOST)),
        idempotent = idempotent,
        streamed = route.streamed,
        format = format,
        resumesAfter = caller.lastEventIdentifier,
        body = { _, _ -> received.body },
    )

    /** The part of the stream that the caller has, up to [lastEventIdentifier] if events of this answer reached it. */
    private fun resumed(lastEventIdentifier: String?): ResumedStream? {
        if (lastEventIdentifier != null) return ResumedStream(lastEventIdentifier, caller.resumes ?: caller.identifier)
        return caller.lastEventIdentifier?.let { ResumedStream(it, caller.resumes) }
    }

    private fun relayFormat(): ExchangeFormat =
        ExchangeFormat(
            attemptHeaders = { attempt, lastEventIdentifier ->
                protocol.writeRelayHeaders(attempt.deadlineMilliseconds, resumed(lastEventIdentifier))
            },
            classifyReply = { status, _ -> relayReply(status) },
            announcesLeaving = { false },
            framing = StreamFraming.NumberedEvents,
            streamHeaders = ::forwardedHeaders,
            errorEvent = null,
            release = AnswerRelease.AT_ONCE,
        )

    /** The other entry has decided on the request, so all that it answers is final but that it cannot serve it. */
    private fun relayReply(status: Int): UpstreamReply =
        if (status == Refusal.CannotRelay.status) UpstreamReply.Misdirected else UpstreamReply.Accepted

    private fun exchangeFormat(organisation: String?): ExchangeFormat =
        ExchangeFormat(
            attemptHeaders = { attempt, lastEventIdentifier ->
                protocol.writeUpstreamHeaders(
                    UpstreamCall(
                        attempt.upstream,
                        organisation,
                        attempt.priority,
                        attempt.deadlineMilliseconds,
                        lastEventIdentifier ?: caller.lastEventIdentifier,
                    ),
                )
            },
            classifyReply = { status, headers -> protocol.classifyReply(caller.identifier, status, headers) },
            announcesLeaving = protocol.announcesLeaving,
            framing = StreamFraming.NumberedEvents,
            streamHeaders = ::forwardedHeaders,
            errorEvent = null,
            release =
                if (idempotent) AnswerRelease.FAILURES_WHEN_DECIDED else AnswerRelease.AT_ONCE,
        )

    private companion object {
        const val HEXADECIMAL = 16
        const val MAXIMUM_PROMPT_TOKENS = 10_000_000

        // Any odd factor keeps different chains distinct; the bits of this one are well distributed.
        const val DIGEST_FACTOR = -0x2e5b_e9b4_6a3d_4d2bL
    }
}
