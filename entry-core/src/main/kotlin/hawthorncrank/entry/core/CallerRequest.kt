package hawthorncrank.entry.core

/**
 * The properties of a request that the control thread uses. [contentDigest] covers organisation, model or path, and
 * body. [finishBy] is a time on the entry's clock and comes from the caller's deadline header or the class. [routeTier]
 * is the tier of the request's route, which the tier of its organisation may replace. [sharedParts] identify the parts of
 * the prompt that other requests may have too, in order. [configurationVersion] is the version of the configuration under
 * which the request was read, or null if the reading did not depend on one. [relayed] is set if another entry sent it,
 * which cannot reach upstreams; it is never relayed again.
 */
data class CallerRequest(
    val number: Long,
    val organisation: String,
    val className: String,
    val target: RequestTarget,
    val contentDigest: String,
    val bodyBytes: Int,
    val streamed: Boolean,
    val finishBy: Long?,
    val identifier: String = "",
    val retryPolicy: RetryPolicy? = null,
    val routeTier: Int? = null,
    val sharedParts: List<String> = emptyList(),
    val configurationVersion: Long? = null,
    val relayed: Boolean = false,
    val resumption: StreamResumption? = null,
)

/** The caller has events of the stream. [origin] identifies its attempt that brought the first one, if it says so. */
data class StreamResumption(
    val origin: String?,
)

/**
 * How the route of a request allows it to be retried. Without a route the target decides: model calls are idempotent,
 * and non-idempotent service calls need a claim on their idempotency key. [maximumAttempts] limits the number of
 * upstreams to which the request may be sent.
 */
data class RetryPolicy(
    val idempotent: Boolean,
    val resumable: Boolean,
    val maximumAttempts: Int,
)

/** What a request asks for. */
sealed interface RequestTarget {
    /**
     * A model call. It is idempotent. [prefixBlocks] are digests of prompt prefixes of growing length, shortest first.
     */
    data class Model(
        val model: String,
        val promptTokens: Int,
        val maximumTokens: Int?,
        val prefixBlocks: List<Long>,
        val sharedTokens: Int = 0,
    ) : RequestTarget

    /** A call of a plain service. [idempotencyKey] is present whenever [idempotent] is false. */
    data class Service(
        val service: String,
        val idempotent: Boolean,
        val idempotencyKey: String?,
    ) : RequestTarget
}
