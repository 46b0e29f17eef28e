package hawthorncrank.entry

import hawthorncrank.entry.core.ListedUpstream
import hawthorncrank.entry.core.StatedOutcome
import io.netty.handler.codec.http.HttpHeaders
import reactor.core.publisher.Mono

/**
 * How routed requests are spoken of on the wire. These functions only translate; what follows from their results is
 * decided by the entry. [withheldHeaders], in lower case, never go from a caller to an upstream. [refusalStatus] gives the
 * HTTP status for a refusal that would have the given one in the product's own interface.
 */
class ExchangeProtocol(
    val readCaller: (HttpHeaders) -> CallerHeaders,
    val writeCall: (UpstreamCall) -> List<Pair<String, String>>,
    val readReply: (identifier: String, status: Int, headers: HttpHeaders) -> UpstreamReply,
    val withheldHeaders: Set<String>,
    val refusalStatus: (status: Int, outcome: StatedOutcome) -> Int,
    val retryAfter: (milliseconds: Long) -> String,
)

/** Asks the platform for all upstreams that it lists. */
typealias UpstreamListing = () -> Mono<List<ListedUpstream>>

/** What an entry needs to carry routed requests: how they are written, and where upstreams are listed. */
class RoutedTraffic(
    val protocol: ExchangeProtocol,
    val listing: UpstreamListing,
)
