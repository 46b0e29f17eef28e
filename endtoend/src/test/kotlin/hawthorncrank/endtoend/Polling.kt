package hawthorncrank.endtoend

import reactor.core.publisher.Mono
import reactor.util.retry.Retry
import java.time.Duration

private const val POLL_MILLISECONDS = 200L
private const val MILLISECONDS_PER_SECOND = 1_000L

/** Polls on a timer until [condition] holds, and fails after about [seconds]. */
fun eventually(
    what: String,
    seconds: Int = 30,
    condition: () -> Boolean,
) {
    Mono
        .fromCallable { check(condition()) { "did not happen within $seconds s: $what" } }
        .retryWhen(
            Retry.fixedDelay(
                seconds * MILLISECONDS_PER_SECOND / POLL_MILLISECONDS,
                Duration.ofMillis(POLL_MILLISECONDS),
            ),
        ).block()
}
