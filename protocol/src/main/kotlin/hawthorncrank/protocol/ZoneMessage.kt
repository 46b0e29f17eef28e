package hawthorncrank.protocol

import kotlinx.serialization.Serializable

/** Messages between the entries of one availability zone. */
@Serializable
sealed interface ZoneMessage : WireMessage {
    val entry: String

    /** Reports that [entry] has this configuration version in memory. */
    @Serializable
    data class StagedNotice(
        override val entry: String,
        val version: Long,
    ) : ZoneMessage

    /** Asks another entry for its newest configuration. */
    @Serializable
    data class ConfigurationQuestion(
        override val entry: String,
    ) : ZoneMessage

    /**
     * Answers [ConfigurationQuestion]. Sent only by an entry that has a configuration, so that an entry without one in
     * memory never confirms a version.
     */
    @Serializable
    data class ConfigurationAnswer(
        override val entry: String,
        val version: Long,
        val configuration: Configuration,
    ) : ZoneMessage

    @Serializable
    data class SuspectNotice(
        override val entry: String,
        val contentDigest: String,
        val crashes: Int,
        val convicted: Boolean,
    ) : ZoneMessage

    /** Reports that [entry] observed that an upstream is leaving. */
    @Serializable
    data class LeavingNotice(
        override val entry: String,
        val upstream: String,
    ) : ZoneMessage
}
