package hawthorncrank.entry

import hawthorncrank.entry.core.StatedOutcome
import hawthorncrank.protocol.ListedUpstream
import io.netty.handler.codec.http.HttpHeaders
import reactor.core.publisher.Mono

/**
 * Translates between the HTTP headers of routed requests and the product's terms. These functions only translate; the
 * entry decides what follows from their results. [announcesLeaving] tells whether an upstream says in its answer that it
 * leaves. [strippedHeaders], in lower case, are never forwarded from a caller to
 * an upstream. [refusalStatus] gives the HTTP status of a refusal that has the given status in the product's own API.
 * [writeRelayHeaders] gives the headers of a caller that change when its request is sent to another entry.
 */
class ExchangeProtocol(
    val readCallerHeaders: (HttpHeaders) -> CallerHeaders,
    val writeUpstreamHeaders: (UpstreamCall) -> List<Pair<String, String>>,
    val classifyReply: (identifier: String, status: Int, headers: HttpHeaders) -> UpstreamReply,
    val announcesLeaving: (HttpHeaders) -> Boolean,
    val strippedHeaders: Set<String>,
    val refusalStatus: (status: Int, outcome: StatedOutcome) -> Int,
    val writeRelayHeaders: (timeLeftMilliseconds: Long?, resumed: ResumedStream?) -> List<Pair<String, String>>,
    val formatRetryAfter: (milliseconds: Long) -> String,
)

/** Asks the platform for all upstreams that it lists. */
typealias UpstreamListing = () -> Mono<List<ListedUpstream>>

/** What an entry needs to serve routed requests: their header translation and the platform's list of upstreams. */
class RoutedTraffic(
    val protocol: ExchangeProtocol,
    val listing: UpstreamListing,
)
