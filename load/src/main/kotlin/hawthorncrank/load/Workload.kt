package hawthorncrank.load

import hawthorncrank.common.Milliseconds
import hawthorncrank.common.SettingsFailure
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The settings of a load run. Requests are scheduled in advance and do not wait for earlier answers; [duration],
 * [maximumRequests], [maximumInFlight] and [drainTime] bound the run.
 */
@Serializable
data class Workload(
    val name: String,
    val entries: List<String>,
    val model: String,
    val seed: Long = 1,
    val duration: Milliseconds,
    @SerialName("drain_time")
    val drainTime: Milliseconds = Milliseconds(30_000),
    @SerialName("maximum_requests")
    val maximumRequests: Int = 10_000,
    @SerialName("maximum_in_flight")
    val maximumInFlight: Int = 2_000,
    val services: List<String> = emptyList(),
    val classes: List<ClassLoad>,
    val organisations: List<OrganisationLoad>,
    val bursts: List<Burst> = emptyList(),
)

/**
 * The requests of one class. Without [path] they are model requests whose output lengths are log-normal around
 * [outputTokens]; with it they are calls of a plain service. A fraction [leaveShare] of the callers disconnects after
 * [leaveAfter]. A fraction [resendShare] sends again after a refusal or an interrupted answer, at most [resends] times.
 */
@Serializable
data class ClassLoad(
    val name: String,
    @SerialName("requests_per_second")
    val requestsPerSecond: Double,
    val streamed: Boolean = true,
    @SerialName("output_tokens")
    val outputTokens: Int = 50,
    @SerialName("output_spread")
    val outputSpread: Double = 0.5,
    @SerialName("maximum_tokens")
    val maximumTokens: Int = 2_000,
    @SerialName("prompt_characters")
    val promptCharacters: Int = 400,
    @SerialName("shared_prefix_characters")
    val sharedPrefixCharacters: Int = 0,
    val path: String? = null,
    val method: String = "POST",
    @SerialName("first_token")
    val firstToken: Milliseconds? = null,
    @SerialName("between_tokens")
    val betweenTokens: Milliseconds? = null,
    @SerialName("finish_by")
    val finishBy: Milliseconds? = null,
    @SerialName("leave_share")
    val leaveShare: Double = 0.0,
    @SerialName("leave_after")
    val leaveAfter: Milliseconds = Milliseconds(500),
    @SerialName("resend_share")
    val resendShare: Double = 0.0,
    val resends: Int = 2,
)

/** An organisation, its API key, and its share of the requests relative to the others. */
@Serializable
data class OrganisationLoad(
    val name: String,
    val key: String,
    val share: Double = 1.0,
)

/** Multiplies the rate of one class by [factor] from [start] for [duration]. */
@Serializable
data class Burst(
    @SerialName("class")
    val className: String,
    val start: Milliseconds,
    val duration: Milliseconds,
    val factor: Double,
)

/** Returns an error for the first invalid value, or null. */
fun Workload.firstFailure(file: String): SettingsFailure? {
    val names = classes.map { it.name }.toSet()
    val problems =
        listOf(
            Triple("entries", entries.isEmpty(), "list the addresses of the entries"),
            Triple("classes", classes.isEmpty(), "describe at least one class"),
            Triple(
                "organisations",
                organisations.none { it.share > 0 },
                "give at least one organisation a share above 0",
            ),
            Triple("duration", duration.value !in 1..MAXIMUM_DURATION_MILLISECONDS, "use a duration of at most 1 h"),
            Triple("drain_time", drainTime.value > MAXIMUM_DURATION_MILLISECONDS, "use a time of at most 1 h"),
            Triple("maximum_requests", maximumRequests !in 1..MAXIMUM_REQUESTS, "use 1 to $MAXIMUM_REQUESTS"),
            Triple("bursts.class", bursts.any { it.className !in names }, "name one of the classes of this workload"),
            Triple("classes.requests_per_second", classes.any { it.requestsPerSecond < 0 }, "use a rate of 0 or more"),
        )
    val (key, _, remedy) = problems.firstOrNull { it.second } ?: return null
    return SettingsFailure.InvalidValue(file, key, "the value is missing or invalid", remedy)
}

private const val MAXIMUM_DURATION_MILLISECONDS = 3_600_000L
private const val MAXIMUM_REQUESTS = 1_000_000
