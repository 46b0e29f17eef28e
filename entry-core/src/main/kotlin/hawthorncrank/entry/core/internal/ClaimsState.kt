package hawthorncrank.entry.core.internal

import hawthorncrank.protocol.CallOutcome
import hawthorncrank.protocol.ClaimKey
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * Claims that are requested or abandoned, and outcomes that are not recorded yet. [abandoned] holds the newest
 * abandoned identifiers, so that a claim that is granted late is recognised as never dispatched and abandoned again.
 */
internal data class ClaimsState(
    val nextSequence: Long = 1,
    val requested: PersistentMap<String, RequestedClaim> = persistentMapOf(),
    val abandons: PersistentMap<String, PendingAbandon> = persistentMapOf(),
    val abandoned: RecentMap<String, ClaimKey> = RecentMap(ABANDONED_REMEMBERED),
    val outcomes: PersistentMap<Long, PendingOutcome> = persistentMapOf(),
) {
    /**
     * No new claim is requested while this is set, because unacknowledged records use memory and must not be dropped.
     */
    val full: Boolean
        get() =
            requested.size >= REQUESTED_LIMIT || abandons.size >= ABANDONS_LIMIT || outcomes.size >= OUTCOMES_LIMIT

    val allAcknowledged: Boolean
        get() = abandons.isEmpty() && outcomes.isEmpty()
}

/** [sends] counts the transmissions, because control may decide a resent request after its first answer arrived. */
internal data class RequestedClaim(
    val requestNumber: Long,
    val key: ClaimKey,
    val requestDigest: String,
    val requestedAt: Long,
    val sends: Int,
)

internal data class GrantedClaim(
    val key: ClaimKey,
    val attemptIdentifier: String,
    val claimNumber: Long,
)

internal data class PendingAbandon(
    val key: ClaimKey,
    val sentAt: Long,
)

/** [requestNumber] is the request whose answer waits for the record, if its caller is still connected. */
internal data class PendingOutcome(
    val key: ClaimKey,
    val outcome: CallOutcome,
    val requestNumber: Long,
    val sentAt: Long,
)

// An outcome holds a body of up to 16 KiB, so 1,000 outcomes use less than a third of a node's 64 MB.
private const val OUTCOMES_LIMIT = 1_000
private const val ABANDONS_LIMIT = 10_000
private const val REQUESTED_LIMIT = 1_000
private const val ABANDONED_REMEMBERED = 10_000
