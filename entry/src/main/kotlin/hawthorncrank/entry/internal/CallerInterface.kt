package hawthorncrank.entry.internal

import com.github.michaelbull.result.Result
import hawthorncrank.entry.core.Refusal
import hawthorncrank.protocol.Organisation
import io.netty.handler.codec.http.HttpHeaders
import reactor.core.publisher.Mono
import reactor.core.scheduler.Scheduler
import reactor.netty.http.server.HttpServerRequest

/**
 * One interface to callers: who asks, what they ask for, and how they are refused. [readOn] is where a request is read
 * once its body is whole; [identifierOf] is the caller's own identifier of the request, empty where there is none.
 */
internal class CallerInterface(
    val organisationOf: (HttpServerRequest, ConfigurationView) -> Mono<Result<Organisation, Rejection>>,
    val read: (ConfigurationView, ReceivedRequest, number: Long) -> Result<ReadRequest, CallerAnswer.Whole>,
    val readOn: Scheduler,
    val refusals: RefusalForm,
    val identifierOf: (HttpHeaders) -> String = { "" },
)

/** How refusals are written to callers. */
internal class RefusalForm(
    val refusal: (Refusal) -> CallerAnswer.Whole,
    val rejection: (Rejection) -> CallerAnswer.Whole,
)
