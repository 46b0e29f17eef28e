package hawthorncrank.emulator

import hawthorncrank.common.Milliseconds
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The stand-ins that one emulator process runs. */
@Serializable
data class EmulatorSettings(
    val engines: List<EngineSettings> = emptyList(),
    val services: List<ServiceSettings> = emptyList(),
    val platforms: List<PlatformSettings> = emptyList(),
)

/**
 * A stand-in for a model engine. Each step of its batch produces one token for every running sequence and takes
 * [tokenInterval] × (1 + [batchGrowth] × (running − 1)).
 */
@Serializable
data class EngineSettings(
    val name: String,
    val address: String,
    val models: List<String>,
    val slots: Int = 64,
    @SerialName("token_interval")
    val tokenInterval: Milliseconds = Milliseconds(10),
    @SerialName("batch_growth")
    val batchGrowth: Double = 0.02,
    @SerialName("prefill_tokens_per_step")
    val prefillTokensPerStep: Int = 2_048,
    @SerialName("cache_blocks")
    val cacheBlocks: Int = 256,
    @SerialName("report_lag")
    val reportLag: Milliseconds = Milliseconds(500),
    @SerialName("cache_event_delay")
    val cacheEventDelay: Milliseconds = Milliseconds(500),
    @SerialName("cache_event_gap")
    val cacheEventGap: Int = 0,
    @SerialName("load_time")
    val loadTime: Milliseconds = Milliseconds(500),
    @SerialName("checks_fencing")
    val checksFencing: Boolean = false,
    @SerialName("resumes_streams")
    val resumesStreams: Boolean = false,
    @SerialName("honours_priority")
    val honoursPriority: Boolean = true,
    @SerialName("slow_factor")
    val slowFactor: Double = 1.0,
    @SerialName("crash_marker")
    val crashMarker: String = "",
    @SerialName("refuse_after_crash")
    val refuseAfterCrash: Milliseconds = Milliseconds(2_000),
)

/** A stand-in for a plain service that counts how often each call ran. */
@Serializable
data class ServiceSettings(
    val name: String,
    val address: String,
    val delay: Milliseconds = Milliseconds(50),
)

/** A stand-in for the platform's membership list. A change becomes visible after [lag]. */
@Serializable
data class PlatformSettings(
    val name: String,
    val address: String,
    val live: List<String> = emptyList(),
    val leaving: List<String> = emptyList(),
    val lag: Milliseconds = Milliseconds(1_000),
)
