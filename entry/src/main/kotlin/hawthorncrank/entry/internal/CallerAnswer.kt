package hawthorncrank.entry.internal

import hawthorncrank.common.Failure
import hawthorncrank.entry.core.Refusal
import hawthorncrank.entry.core.StatedOutcome
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import reactor.core.publisher.Flux

/** The HTTP answer to a caller, either complete or streamed. */
internal sealed interface CallerAnswer {
    val status: Int
    val headers: List<Pair<String, String>>

    class Complete(
        override val status: Int,
        override val headers: List<Pair<String, String>>,
        val body: ByteArray,
    ) : CallerAnswer

    class Stream(
        override val headers: List<Pair<String, String>>,
        val body: Flux<ByteArray>,
    ) : CallerAnswer {
        override val status = 200
    }
}

internal fun problemBody(
    problem: String,
    remedy: String,
): String =
    buildJsonObject {
        putJsonObject("error") {
            put("problem", problem)
            put("remedy", remedy)
        }
    }.toString()

internal fun problemAnswer(
    status: Int,
    failure: Failure,
    outcome: StatedOutcome,
    retryAfterMilliseconds: Long? = null,
): CallerAnswer.Complete {
    val headers =
        listOfNotNull(
            CONTENT_TYPE to "application/json",
            OUTCOME_HEADER to outcome.headerValue,
            retryAfterMilliseconds?.let { RETRY_AFTER to secondsRoundedUp(it).toString() },
        )
    return CallerAnswer.Complete(status, headers, problemBody(failure.problem, failure.remedy).toByteArray())
}

internal fun refusalAnswer(refusal: Refusal): CallerAnswer.Complete =
    problemAnswer(refusal.status, refusal, refusal.outcome, refusal.retryAfterMilliseconds)

/** The event that ends a broken stream, so that a caller does not mistake a partial answer for a complete one. */
internal fun errorEvent(reason: String): ByteArray {
    val remedy = "discard the partial answer and send the request again; it is idempotent"
    return "event: error\ndata: ${problemBody(reason, remedy)}\n\n".toByteArray()
}

private fun secondsRoundedUp(milliseconds: Long): Long =
    ((milliseconds + MILLISECONDS_PER_SECOND - 1) / MILLISECONDS_PER_SECOND).coerceAtLeast(1)

internal const val OUTCOME_HEADER = "Hawthorncrank-Outcome"
internal const val REQUEST_HEADER = "Hawthorncrank-Request"
internal const val RECORDED_HEADER = "Hawthorncrank-Recorded"
internal const val CLASS_HEADER = "Hawthorncrank-Class"
internal const val CLAIM_HEADER = "Hawthorncrank-Claim"
internal const val DEADLINE_HEADER = "Hawthorncrank-Deadline-Milliseconds"
internal const val LOAD_HEADER = "Hawthorncrank-Load"
internal const val RESUME_TOKEN_HEADER = "Hawthorncrank-Resume-Token"
internal const val IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
internal const val CONTENT_TYPE = "Content-Type"
internal const val RETRY_AFTER = "Retry-After"
private const val MILLISECONDS_PER_SECOND = 1_000L
