package hawthorncrank.endtoend

import reactor.core.publisher.Mono
import reactor.util.retry.Retry
import java.time.Duration

private const val POLL_MILLISECONDS = 200L
private const val MILLISECONDS_PER_SECOND = 1_000L

/** Polls by a timer until [condition] holds, for at most [seconds]. */
fun eventually(
    what: String,
    seconds: Int = 30,
    condition: () -> Boolean,
) {
    Mono
        .fromCallable { check(condition()) { "not within $seconds s: $what" } }
        .retryWhen(
            Retry.fixedDelay(
                seconds * MILLISECONDS_PER_SECOND / POLL_MILLISECONDS,
                Duration.ofMillis(POLL_MILLISECONDS),
            ),
        ).block()
}
