package hawthorncrank.entry.core

/**
 * What the control thread knows of a request. [contentDigest] covers organisation, model or path, and body.
 * [finishBy] is a time of the entry's clock, from the caller's deadline header or the class.
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
)

/**
 * What the route of a request says of repeating it. Requests without a route follow their target: model calls are
 * idempotent, and calls of services that are not need a claim on their key. [maximumAttempts] bounds the upstreams to which
 * the request may be sent.
 */
data class RetryPolicy(
    val idempotent: Boolean,
    val resumable: Boolean,
    val maximumAttempts: Int,
)

/** What a request asks for. */
sealed interface RequestTarget {
    /** A model call. It is idempotent. [prefixBlocks] are digests of the growing prompt prefix, shortest first. */
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
