package hawthorncrank.entry.internal

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import hawthorncrank.entry.core.CallerRequest
import hawthorncrank.entry.core.Refusal
import hawthorncrank.entry.core.RequestTarget
import hawthorncrank.protocol.Organisation
import hawthorncrank.protocol.ServiceRoute
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import java.security.MessageDigest

/**
 * A request as received, from an admitted caller. Its body was complete at [receivedAt] on the entry's clock. [relayed] is
 * set if another entry sent it.
 */
internal class ReceivedRequest(
    val method: HttpMethod,
    val uri: String,
    val headers: HttpHeaders,
    val body: ByteArray,
    val organisation: Organisation,
    val receivedAt: Long,
    val relayed: Boolean = false,
) {
    val path: String get() = uri.substringBefore('?')
}

/**
 * A request in its forms: for the control thread's decisions, for sending to upstreams, and for sending to another entry.
 * The last is created when it is first needed, and null if the API does not allow it.
 */
internal class ParsedRequest(
    val callerRequest: CallerRequest,
    val outgoing: OutgoingRequest,
    relayed: () -> OutgoingRequest? = { null },
) {
    val relayed: OutgoingRequest? by lazy(LazyThreadSafetyMode.NONE, relayed)
}

/** Validates a received request of the product's own API and converts it for the control thread. */
internal class RequestReader(
    private val view: ConfigurationView,
    private val format: ExchangeFormat,
) {
    fun read(
        received: ReceivedRequest,
        number: Long,
    ): Result<ParsedRequest, CallerAnswer.Complete> =
        if (received.path == COMPLETIONS_PATH) {
            readModelRequest(received, number)
        } else {
            val route = view.serviceRoute(received.path) ?: return rejected(Rejection.NoSuchPath)
            readServiceCall(received, route, number)
        }

    private fun readModelRequest(
        received: ReceivedRequest,
        number: Long,
    ): Result<ParsedRequest, CallerAnswer.Complete> {
        if (received.method != HttpMethod.POST) return rejected(Rejection.WrongMethod)
        val requested = received.headers.get(CLASS_HEADER) ?: view.firstModelClass(received.organisation)
        val className = requested ?: return rejected(Rejection.NoModelClass)
        val model = ModelRequest.parse(received.body).getOrElse { return rejected(it) }
        return describe(received, number, className, model.target, model.target.model, model.streamed).map { request ->
            val outgoing =
                OutgoingRequest(
                    method = received.method,
                    uri = received.uri,
                    headers = outgoingHeaders(received.headers),
                    idempotent = true,
                    streamed = model.streamed,
                    format = format,
                    body = model::body,
                )
            ParsedRequest(request, outgoing)
        }
    }

    private fun readServiceCall(
        received: ReceivedRequest,
        route: ServiceRoute,
        number: Long,
    ): Result<ParsedRequest, CallerAnswer.Complete> {
        val idempotent = received.method.name() in route.idempotentMethods
        val key = received.headers.get(IDEMPOTENCY_KEY_HEADER)
        if (!idempotent && key == null) return rejected(Rejection.IdempotencyKeyMissing)
        if (key != null && key.length !in 1..MAXIMUM_KEY_LENGTH) return rejected(Rejection.IdempotencyKeyMalformed)
        val target = RequestTarget.Service(route.service, idempotent, key)
        val content = "${received.method} ${received.uri}"
        return describe(received, number, route.className, target, content, streamed = false).map { request ->
            val outgoing =
                OutgoingRequest(
                    method = received.method,
                    uri = received.uri,
                    headers = outgoingHeaders(received.headers),
                    idempotent = idempotent,
                    streamed = false,
                    format = format,
                    body = { _, _ -> received.body },
                )
            ParsedRequest(request, outgoing)
        }
    }

    private fun describe(
        received: ReceivedRequest,
        number: Long,
        className: String,
        target: RequestTarget,
        content: String,
        streamed: Boolean,
    ): Result<CallerRequest, CallerAnswer.Complete> {
        val trafficClass = view.trafficClass(className)
        if (trafficClass == null || className !in received.organisation.classes) {
            return Err(refusalAnswer(Refusal.NotPermitted(className)))
        }
        return deadline(received.headers).andThen { timeLeft ->
            val allowed = listOfNotNull(timeLeft, trafficClass.finishBy?.value).minOrNull()
            Ok(
                CallerRequest(
                    number = number,
                    organisation = received.organisation.name,
                    className = className,
                    target = target,
                    contentDigest = contentDigest(received.organisation.name, content, received.body),
                    bodyBytes = received.body.size,
                    streamed = streamed,
                    finishBy = allowed?.let { received.receivedAt + it },
                    configurationVersion = view.version,
                ),
            )
        }
    }

    private fun deadline(headers: HttpHeaders): Result<Long?, CallerAnswer.Complete> {
        val text = headers.get(DEADLINE_HEADER) ?: return Ok(null)
        val milliseconds = text.toLongOrNull()?.takeIf { it in 1..MAXIMUM_DEADLINE_MILLISECONDS }
        return if (milliseconds == null) rejected(Rejection.InvalidDeadline) else Ok(milliseconds)
    }

    private fun rejected(rejection: Rejection) = Err(rejectionAnswer(rejection))

    companion object {
        const val COMPLETIONS_PATH = "/v1/chat/completions"
        private const val MAXIMUM_KEY_LENGTH = 256
        private const val MAXIMUM_DEADLINE_MILLISECONDS = 7L * 24 * 3_600 * 1_000
    }
}

internal fun contentDigest(
    organisation: String,
    content: String,
    body: ByteArray,
): String {
    val digest = MessageDigest.getInstance("SHA-256")
    digest.update("$organisation\n$content\n".toByteArray())
    return digest.digest(body).toHex()
}
