package hawthorncrank.entry.internal

import com.github.michaelbull.result.Result
import hawthorncrank.entry.core.Refusal
import hawthorncrank.protocol.Organisation
import io.netty.handler.codec.http.HttpHeaders
import reactor.core.publisher.Mono
import reactor.core.scheduler.Scheduler
import reactor.netty.http.server.HttpServerRequest

/**
 * An API for callers: which callers it admits and how it refuses others. [readOn] is the scheduler on which a request
 * is read once its body is complete. [identifierOf] returns the identifier that the caller gave the request, or "".
 */
internal class CallerInterface(
    val admit: (HttpServerRequest, ConfigurationView) -> Mono<Result<AdmittedCaller, Rejection>>,
    val readOn: Scheduler,
    val refusals: RefusalFormat,
    val identifierOf: (HttpHeaders) -> String = { "" },
)

/** A caller whose request may be received. [read] parses the request once its body is complete. */
internal class AdmittedCaller(
    val organisation: Organisation,
    val read: (ReceivedRequest, number: Long) -> Result<ParsedRequest, CallerAnswer.Complete>,
)

/** How refusals are written to callers. */
internal class RefusalFormat(
    val refusal: (Refusal) -> CallerAnswer.Complete,
    val rejection: (Rejection) -> CallerAnswer.Complete,
)
