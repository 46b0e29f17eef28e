package hawthorncrank.entry.internal

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import reactor.core.publisher.Mono
import reactor.netty.http.server.HttpServerRequest

/** A caller that was admitted under the configuration [view]. */
internal class Admission(
    val view: ConfigurationView,
    val caller: AdmittedCaller,
)

/** The body of the request that this entry gave [number], complete at [receivedAt] on the entry's clock. */
internal class CompleteBody(
    val number: Long,
    val bytes: ByteArray,
    val receivedAt: Long,
)

/**
 * Reads one request whose body is complete, each time under the configuration in force. The configuration may have
 * changed since the request's head arrived, and may change again until the control thread decides on the request, so
 * its key, its route and its class are always looked up together.
 */
internal class RequestReading(
    private val request: HttpServerRequest,
    private var admission: Admission,
    private val relayed: Boolean,
    private val callers: CallerInterface,
    private val view: () -> ConfigurationView?,
    private val reject: (Rejection) -> CallerAnswer.Complete,
) {
    private var readings = 0

    fun read(body: CompleteBody): Mono<Result<ParsedRequest, CallerAnswer.Complete>> {
        val current = view() ?: return Mono.fromCallable { Err(reject(Rejection.NotReady)) }
        if (++readings > READINGS_LIMIT) return Mono.fromCallable { Err(reject(Rejection.ConfigurationChanging)) }
        return admit(current).publishOn(callers.readOn).map { result ->
            result.fold(
                success = { caller -> caller.read(received(caller, body), body.number) },
                failure = { Err(reject(it)) },
            )
        }
    }

    private fun admit(current: ConfigurationView): Mono<Result<AdmittedCaller, Rejection>> {
        if (current === admission.view) return Mono.just(Ok(admission.caller))
        return callers.admit(request, current).doOnNext { result ->
            result.fold(success = { admission = Admission(current, it) }, failure = {})
        }
    }

    private fun received(
        caller: AdmittedCaller,
        body: CompleteBody,
    ) = ReceivedRequest(
        request.method(),
        request.uri(),
        request.requestHeaders(),
        body.bytes,
        caller.organisation,
        body.receivedAt,
        relayed,
    )

    private companion object {
        // Bounds the work for a request that waits for the control thread longer than changes lie apart.
        const val READINGS_LIMIT = 8
    }
}
