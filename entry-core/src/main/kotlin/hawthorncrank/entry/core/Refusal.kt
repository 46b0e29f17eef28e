package hawthorncrank.entry.core

import hawthorncrank.common.Failure

/** Why a caller gets no answer from an upstream. [outcome] states whether the request ran, as far as is known. */
sealed interface Refusal : Failure {
    val status: Int
    val outcome: StatedOutcome
    val retryAfterMilliseconds: Long?
        get() = null

    /** The refusal to send instead of this one if an earlier attempt of the request may have run at an upstream. */
    fun withUnknownOutcome(): Refusal =
        when (this) {
            is Overloaded -> copy(outcome = StatedOutcome.UNKNOWN)
            is DeadlineExceeded -> copy(outcome = StatedOutcome.UNKNOWN)
            is NoUpstream -> copy(outcome = StatedOutcome.UNKNOWN)
            is Convicted -> copy(outcome = StatedOutcome.UNKNOWN)
            else -> if (outcome == StatedOutcome.NOT_RUN) Interrupted else this
        }

    data class Overloaded(
        override val retryAfterMilliseconds: Long,
        override val outcome: StatedOutcome = StatedOutcome.NOT_RUN,
    ) : Refusal {
        override val status = 503
        override val problem = "the class has more work than capacity"
        override val remedy = "send the request again after the time in Retry-After"
    }

    data class LimitExceeded(
        val limit: String,
        override val retryAfterMilliseconds: Long,
    ) : Refusal {
        override val status = 429
        override val outcome = StatedOutcome.NOT_RUN
        override val problem = "the organisation's limit on $limit is reached"
        override val remedy =
            "send the request again after the time in Retry-After, or ask the operator for a higher limit"
    }

    data class DeadlineExceeded(
        override val retryAfterMilliseconds: Long,
        override val outcome: StatedOutcome = StatedOutcome.NOT_RUN,
    ) : Refusal {
        override val status = 503
        override val problem = "the answer could not be finished before the deadline"
        override val remedy = "send the request again after the time in Retry-After or with a later deadline"
    }

    data class NoUpstream(
        val target: String,
        override val outcome: StatedOutcome = StatedOutcome.NOT_RUN,
    ) : Refusal {
        override val status = 503
        override val retryAfterMilliseconds = 2_000L
        override val problem = "no upstream for $target can be reached"
        override val remedy = "send the request again; operators see the upstreams in the status report"
    }

    /** Answers another entry that relayed a request to this one, so that it tries a third one. */
    data object CannotRelay : Refusal {
        override val status = 421
        override val outcome = StatedOutcome.NOT_RUN
        override val problem = "this entry cannot serve a relayed request now"
        override val remedy = "send the request to another entry"
    }

    data object StreamNotResumable : Refusal {
        override val status = 503
        override val outcome = StatedOutcome.NOT_RUN
        override val retryAfterMilliseconds = 1_000L
        override val problem = "no upstream is known to have the software version that began this stream"
        override val remedy = "send the request without the last event to begin a new stream"
    }

    data class NotPermitted(
        val className: String,
    ) : Refusal {
        override val status = 403
        override val outcome = StatedOutcome.NOT_RUN
        override val problem = "the organisation may not use the class \"$className\""
        override val remedy = "use one of the organisation's classes, or ask the operator to attach this one"
    }

    data class Convicted(
        val contentDigest: String,
        override val outcome: StatedOutcome = StatedOutcome.NOT_RUN,
        override val retryAfterMilliseconds: Long? = null,
    ) : Refusal {
        override val status = 422
        override val problem = "requests with this content ($contentDigest) crashed engines and are refused"
        override val remedy = "change the request, or ask the operator to lift the conviction"
    }

    data object IdempotencyKeyMissing : Refusal {
        override val status = 400
        override val outcome = StatedOutcome.NOT_RUN
        override val problem = "a non-idempotent call needs the header Idempotency-Key"
        override val remedy = "send the request with an Idempotency-Key that is unique to the call"
    }

    data object ControlUnavailable : Refusal {
        override val status = 503
        override val outcome = StatedOutcome.NOT_RUN
        override val retryAfterMilliseconds = 3_000L
        override val problem = "non-idempotent calls need the control group, and no majority of it can be reached"
        override val remedy = "send the request again with the same key after the time in Retry-After"
    }

    data object StillRunning : Refusal {
        override val status = 409
        override val outcome = StatedOutcome.UNKNOWN
        override val retryAfterMilliseconds = 2_000L
        override val problem = "a call with this key is still running"
        override val remedy = "send the request again with the same key after the time in Retry-After to get its answer"
    }

    data object IdempotencyKeyReused : Refusal {
        override val status = 422
        override val outcome = StatedOutcome.NOT_RUN
        override val problem = "this key was already used for a request with different content"
        override val remedy = "use a new Idempotency-Key for a new request"
    }

    data class OutcomeUnknown(
        val claimNumber: Long,
    ) : Refusal {
        override val status = 502
        override val outcome = StatedOutcome.UNKNOWN
        override val problem = "the call was sent to the upstream and its outcome is unknown (claim $claimNumber)"
        override val remedy = "check with the service whether it ran; the operator can then resolve the claim"
    }

    data object Interrupted : Refusal {
        override val status = 502
        override val outcome = StatedOutcome.UNKNOWN
        override val problem = "the upstream did not complete the answer"
        override val remedy = "send the request again; it is idempotent"
    }

    data object NonIdempotentInterrupted : Refusal {
        override val status = 502
        override val outcome = StatedOutcome.UNKNOWN
        override val problem = "the upstream did not complete the call and may have run it"
        override val remedy = "check with the service whether it ran before sending it again"
    }

    data object ConfigurationUnconfirmed : Refusal {
        override val status = 503
        override val outcome = StatedOutcome.NOT_RUN
        override val retryAfterMilliseconds = 500L
        override val problem = "this entry cannot confirm that its configuration is the newest"
        override val remedy = "send the request again; the load balancer chooses another entry"
    }

    data object NotProcessed : Refusal {
        override val status = 503
        override val outcome = StatedOutcome.NOT_RUN
        override val retryAfterMilliseconds = 1_000L
        override val problem = "this entry failed to process the request"
        override val remedy = "send the request again; operators find the failure in the entry's log (event 1009)"
    }

    data object Stopping : Refusal {
        override val status = 503
        override val outcome = StatedOutcome.NOT_RUN
        override val retryAfterMilliseconds = 1_000L
        override val problem = "this entry is stopping"
        override val remedy = "send the request again; the load balancer chooses another entry"
    }
}

/** Whether a request ran, as the header Hawthorncrank-Outcome tells the caller. */
enum class StatedOutcome(
    val headerValue: String,
) {
    RAN("ran"),
    NOT_RUN("not-run"),
    UNKNOWN("unknown"),
}
