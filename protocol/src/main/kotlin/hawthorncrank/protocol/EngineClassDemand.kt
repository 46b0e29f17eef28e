package hawthorncrank.protocol

import kotlinx.serialization.Serializable

/**
 * The demand of one class of a service whose engines are ordered, as its callers make it. [targets] tells classes of the
 * service apart, and [firstToken] is the target to the first token in milliseconds. [prefillShare] is the number of engines
 * that would be busy all the time with the prompts that were started, and [waitingMilliseconds] the prefill time of prompts
 * that wait for an engine.
 */
@Serializable
data class EngineClassDemand(
    val service: String,
    val targets: String,
    val tier: Int,
    val firstToken: Long?,
    val prefillShare: Double,
    val runningStreams: Int,
    val waitingMilliseconds: Double,
)
