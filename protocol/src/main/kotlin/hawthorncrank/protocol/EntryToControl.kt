package hawthorncrank.protocol

import kotlinx.serialization.Serializable

/** Messages from an entry to the control replica that it is linked to. */
@Serializable
sealed interface EntryToControl : WireMessage {
    /**
     * The first message on the link. [appliedVersion] is 0 for an entry that has no configuration. [relayAddress] is where
     * the entry accepts requests from other entries, or empty. [readsSoftware] is set by entries that can read the versions
     * of software in the list of upstreams.
     */
    @Serializable
    data class EntryHello(
        val entry: String,
        val availabilityZone: String,
        val appliedVersion: Long,
        val relayAddress: String = "",
        val readsSoftware: Boolean = false,
    ) : EntryToControl

    /** Reports that an upstream with this version of its software began a stream that callers may take up again. */
    @Serializable
    data class StreamBegan(
        val stream: String,
        val software: String,
    ) : EntryToControl

    /** Asks which version of the upstreams' software began a stream of [service]. */
    @Serializable
    data class FindStream(
        val stream: String,
        val service: String,
    ) : EntryToControl

    /** Asks for entries that may relay requests, because this entry cannot reach upstreams. */
    @Serializable
    data object ListRelays : EntryToControl

    /**
     * Requests the claim on [key]. [attemptIdentifier] is unique for each attempt; a repeated request with the same one
     * gets the same answer.
     */
    @Serializable
    data class ClaimRequest(
        val key: ClaimKey,
        val requestDigest: String,
        val attemptIdentifier: String,
        val entry: String,
    ) : EntryToControl

    /** Records how the call with this [claimNumber] ended. Sent again until it is acknowledged. */
    @Serializable
    data class OutcomeRecord(
        val key: ClaimKey,
        val claimNumber: Long,
        val outcome: CallOutcome,
    ) : EntryToControl

    /** Declares that this attempt will never dispatch the call. Sent again until it is acknowledged. */
    @Serializable
    data class ClaimAbandon(
        val key: ClaimKey,
        val attemptIdentifier: String,
    ) : EntryToControl

    /**
     * Reports that this content was in flight on engines that crashed. [convicted] tells whether the evidence suffices
     * for a [Conviction].
     */
    @Serializable
    data class SuspectReport(
        val contentDigest: String,
        val crashes: Int,
        val convicted: Boolean,
    ) : EntryToControl

    /** Reports an engine that crashed [age] milliseconds ago, with the requests that it had not begun to answer. */
    @Serializable
    data class CrashReport(
        val engine: String,
        val requests: List<UnansweredRequest>,
        val age: Long,
    ) : EntryToControl

    /** Reports when engines last began to answer requests with these suspected contents. */
    @Serializable
    data class SuspicionsRefuted(
        val contents: List<BegunContent>,
    ) : EntryToControl

    /**
     * Asks which configuration version is the newest. [question] is the time at which the entry asked; the answer
     * repeats it. [asksGroup] is set by entries that can read the group in the answer.
     */
    @Serializable
    data class ConfirmConfiguration(
        val question: Long,
        val asksGroup: Boolean = false,
    ) : EntryToControl

    /**
     * Asks for the platform's list of upstreams. [question] is the time at which the entry asked; the answer repeats it.
     * [heldRevision] is the revision of the list that the entry has.
     */
    @Serializable
    data class ListUpstreams(
        val question: Long,
        val heldRevision: Long?,
    ) : EntryToControl

    /**
     * Sent once a second while the configuration limits the engines of a service, only after
     * [ControlToEntry.EngineDemandWanted].
     */
    @Serializable
    data class EngineDemand(
        val classes: List<EngineClassDemand>,
    ) : EntryToControl

    /** Sent every 2 s. */
    @Serializable
    data class EntryStatus(
        val entry: String,
        val availabilityZone: String,
        val appliedVersion: Long,
        val queued: Int,
        val inFlight: Int,
        val ready: Boolean,
    ) : EntryToControl

    /**
     * Reports how many requests of each organisation began to run in each window of true time. Counts are cumulative since
     * [start], which identifies this start of the entry's process; [cells] are those that changed since they were last sent
     * on this link. [question] is the entry's monotonic time; the answer repeats it. [trueTime] is the entry's estimate and
     * [wallTime] its time of day at the time of sending. Sent only after [ControlToEntry.UsageWanted].
     */
    @Serializable
    data class UsageCounts(
        val start: String,
        val question: Long,
        val cells: List<UsageCount> = emptyList(),
        val trueTime: Long? = null,
        val wallTime: Long? = null,
    ) : EntryToControl

    /** Answers [ControlToEntry.ExplainQuestion]; [lines] is empty if the entry does not know the request. */
    @Serializable
    data class ExplainAnswer(
        val question: Long,
        val lines: List<String>,
    ) : EntryToControl
}

/**
 * A request that an engine had not begun to answer when it crashed, [age] milliseconds after the request was sent with
 * [priority]. [contents] are what may have crashed the engine: the parts of its prompt that other requests may share, in
 * order, and then its whole content, which is the same for repeats of one request.
 */
@Serializable
data class UnansweredRequest(
    val contents: List<String>,
    val priority: Int,
    val age: Long,
)

/** Content of a request that an engine began to answer [age] milliseconds ago. */
@Serializable
data class BegunContent(
    val content: String,
    val age: Long,
)

/** The number of an organisation's requests that upstreams began to run in a window, as one entry counted them. */
@Serializable
data class UsageCount(
    val window: Long,
    val organisation: String,
    val count: Long,
)
