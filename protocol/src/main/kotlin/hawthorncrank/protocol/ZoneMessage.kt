package hawthorncrank.protocol

import kotlinx.serialization.Serializable

/** What the entries of one availability zone tell each other. */
@Serializable
sealed interface ZoneMessage : WireMessage {
    val entry: String

    /** [entry] holds this version in memory. */
    @Serializable
    data class StagedNotice(
        override val entry: String,
        val version: Long,
    ) : ZoneMessage

    /** Asks a neighbour for its newest version. */
    @Serializable
    data class ConfigurationQuestion(
        override val entry: String,
    ) : ZoneMessage

    /** Only sent by an entry that holds a configuration, so that one without memory never vouches. */
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

    /** This entry observes that an upstream is leaving. */
    @Serializable
    data class LeavingNotice(
        override val entry: String,
        val upstream: String,
    ) : ZoneMessage
}
