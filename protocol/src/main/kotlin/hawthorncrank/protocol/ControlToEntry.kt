package hawthorncrank.protocol

import kotlinx.serialization.Serializable

/** Messages from a control replica to an entry. */
@Serializable
sealed interface ControlToEntry : WireMessage {
    /** A committed configuration. [confirmed] means that the leader's read index confirmed that none is newer. */
    @Serializable
    data class ConfigurationUpdate(
        val version: Long,
        val configuration: Configuration,
        val confirmed: Boolean,
    ) : ControlToEntry

    /** A committed change. An entry that does not have its base version sends [EntryToControl.EntryHello] again. */
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

    /** The outcome is committed, or never will be because [claimNumber] is no longer the claim number of [key]. */
    @Serializable
    data class OutcomeRecorded(
        val key: ClaimKey,
        val claimNumber: Long,
        val accepted: Boolean = true,
    ) : ControlToEntry

    /**
     * From now on, the attempt is never granted a claim. [accepted] is false if the attempt already has an outcome,
     * which remains.
     */
    @Serializable
    data class ClaimAbandoned(
        val key: ClaimKey,
        val attemptIdentifier: String,
        val accepted: Boolean = true,
    ) : ControlToEntry

    /**
     * Answers [EntryToControl.ConfirmConfiguration]: no version above [version] was committed when the question
     * arrived. [entries] is the number of entries linked to the replicas, as far as this replica knows. [group] identifies
     * the group of replicas that has the version, and is empty if the entry did not ask for it.
     */
    @Serializable
    data class ConfigurationConfirmed(
        val question: Long,
        val version: Long,
        val entries: Int = 0,
        val group: String = "",
    ) : ControlToEntry

    /**
     * Answers [EntryToControl.ListUpstreams] with the platform's list, which the replica read [age] milliseconds before the
     * question arrived. [upstreams] is null if the entry has this [revision].
     */
    @Serializable
    data class UpstreamList(
        val question: Long,
        val revision: Long,
        val age: Long,
        val upstreams: List<ListedUpstream>? = null,
    ) : ControlToEntry

    /** Answers [EntryToControl.ListRelays] with some other entries of each availability zone. */
    @Serializable
    data class RelayList(
        val relays: List<Relay>,
    ) : ControlToEntry

    /**
     * Answers [EntryToControl.FindStream]. [software] is null if this replica does not know the stream. [ambiguous] then tells
     * that several versions may have begun it.
     */
    @Serializable
    data class StreamFound(
        val stream: String,
        val software: String?,
        val ambiguous: Boolean,
    ) : ControlToEntry

    /** All convictions in force; replaces those that the entry received from control before. */
    @Serializable
    data class ConvictionUpdate(
        val revision: Long,
        val convictions: List<Conviction>,
    ) : ControlToEntry

    /** All contents under suspicion; replaces those that the entry received before. */
    @Serializable
    data class SuspicionUpdate(
        val suspicions: List<Suspicion>,
    ) : ControlToEntry

    /** All upstreams that operators are draining; replaces the list that the entry received before. */
    @Serializable
    data class DrainUpdate(
        val revision: Long,
        val upstreams: List<String>,
    ) : ControlToEntry

    /** Asks the entry to send [EntryToControl.UsageCounts] on this link, in windows of [window] milliseconds. */
    @Serializable
    data class UsageWanted(
        val window: Long,
    ) : ControlToEntry

    /** Asks the entry to send [EntryToControl.EngineDemand] on this link. */
    @Serializable
    data object EngineDemandWanted : ControlToEntry

    /** Answers [EntryToControl.UsageCounts] at once. [trueTime] is null while the replica has no estimate. */
    @Serializable
    data class UsageTime(
        val question: Long,
        val trueTime: Long? = null,
    ) : ControlToEntry

    /** These counts are committed, or their windows are closed. */
    @Serializable
    data class UsageRecorded(
        val cells: List<UsageCount>,
    ) : ControlToEntry

    @Serializable
    data class ExplainQuestion(
        val question: Long,
        val requestNumber: String,
    ) : ControlToEntry
}

/** Request content that entries refuse because it crashed engines. [expiresIn] is in milliseconds from receipt. */
@Serializable
data class Conviction(
    val contentDigest: String,
    val crashes: Int,
    val expiresIn: Long,
)

/**
 * Content that may have crashed several engines, the first of them [age] milliseconds before receipt. An engine that
 * began to answer a request with this content since refutes the suspicion.
 */
@Serializable
data class Suspicion(
    val content: String,
    val age: Long,
)
