package hawthorncrank.protocol

import kotlinx.serialization.Serializable

/** What a control replica tells an entry. */
@Serializable
sealed interface ControlToEntry : WireMessage {
    /** A committed configuration. [confirmed] says that the leader confirmed by read index that none is newer. */
    @Serializable
    data class ConfigurationUpdate(
        val version: Long,
        val configuration: Configuration,
        val confirmed: Boolean,
    ) : ControlToEntry

    /** A committed change. An entry that does not hold its base version sends [EntryToControl.EntryHello] again. */
    @Serializable
    data class ConfigurationChange(
        val delta: ConfigurationDelta,
        val confirmed: Boolean,
    ) : ControlToEntry

    @Serializable
    data class ClaimAnswer(
        val key: ClaimKey,
        val attemptIdentifier: String,
        val decision: ClaimDecision,
    ) : ControlToEntry

    /** The outcome under [claimNumber] is committed, or never will be because the number is no longer the key's. */
    @Serializable
    data class OutcomeRecorded(
        val key: ClaimKey,
        val claimNumber: Long,
        val accepted: Boolean = true,
    ) : ControlToEntry

    /** The attempt is never granted anything again. [accepted] is false when it has an outcome, which stands. */
    @Serializable
    data class ClaimAbandoned(
        val key: ClaimKey,
        val attemptIdentifier: String,
        val accepted: Boolean = true,
    ) : ControlToEntry

    /**
     * Answers [EntryToControl.ConfirmConfiguration]: no version above [version] was committed when the question arrived.
     * [entries] are linked to the replicas, as far as this one knows.
     */
    @Serializable
    data class ConfigurationConfirmed(
        val question: Long,
        val version: Long,
        val entries: Int = 0,
    ) : ControlToEntry

    /** All convictions in force; replaces what the entry had from control. */
    @Serializable
    data class ConvictionUpdate(
        val revision: Long,
        val convictions: List<Conviction>,
    ) : ControlToEntry

    /** All upstreams that operators drain; replaces what the entry had. */
    @Serializable
    data class DrainUpdate(
        val revision: Long,
        val upstreams: List<String>,
    ) : ControlToEntry

    @Serializable
    data class ExplainQuestion(
        val question: Long,
        val requestNumber: String,
    ) : ControlToEntry
}

/** A request content that entries refuse because it crashed engines. [expiresIn] is in milliseconds from receipt. */
@Serializable
data class Conviction(
    val contentDigest: String,
    val crashes: Int,
    val expiresIn: Long,
)
