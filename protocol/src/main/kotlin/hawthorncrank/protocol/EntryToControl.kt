package hawthorncrank.protocol

import kotlinx.serialization.Serializable

/** What an entry tells the control replica that it is linked to. */
@Serializable
sealed interface EntryToControl : WireMessage {
    /** First message on the link. [appliedVersion] is 0 for an entry that holds no configuration. */
    @Serializable
    data class EntryHello(
        val entry: String,
        val availabilityZone: String,
        val appliedVersion: Long,
    ) : EntryToControl

    /** Asks for the claim on a key. [attemptIdentifier] is unique; a repeat with the same one gets the same answer. */
    @Serializable
    data class ClaimRequest(
        val key: ClaimKey,
        val requestDigest: String,
        val attemptIdentifier: String,
        val entry: String,
    ) : EntryToControl

    /** Records how the call under [claimNumber] ended. Repeated until acknowledged. */
    @Serializable
    data class OutcomeRecord(
        val key: ClaimKey,
        val claimNumber: Long,
        val outcome: CallOutcome,
    ) : EntryToControl

    /** Says that [attemptIdentifier] will never dispatch. Repeated until acknowledged. */
    @Serializable
    data class ClaimAbandon(
        val key: ClaimKey,
        val attemptIdentifier: String,
    ) : EntryToControl

    /** Reports that this content was in flight on engines that crashed, and whether the evidence convicts it. */
    @Serializable
    data class SuspectReport(
        val contentDigest: String,
        val crashes: Int,
        val convicted: Boolean,
    ) : EntryToControl

    /** Asks which version is the newest. [question] is the entry's own time of asking and comes back with the answer. */
    @Serializable
    data class ConfirmConfiguration(
        val question: Long,
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

    /** Answers [ControlToEntry.ExplainQuestion]; [lines] is empty when the entry does not know the request. */
    @Serializable
    data class ExplainAnswer(
        val question: Long,
        val lines: List<String>,
    ) : EntryToControl
}
