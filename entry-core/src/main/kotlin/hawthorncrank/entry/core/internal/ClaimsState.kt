package hawthorncrank.entry.core.internal

import hawthorncrank.protocol.CallOutcome
import hawthorncrank.protocol.ClaimKey
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * Claims that are asked for, given up or to be recorded. [abandoned] remembers the newest identifiers that were given
 * up, so that a grant that arrives late is recognised as never dispatched and given back.
 */
internal data class ClaimsState(
    val nextSequence: Long = 1,
    val asked: PersistentMap<String, AskedClaim> = persistentMapOf(),
    val abandons: PersistentMap<String, PendingAbandon> = persistentMapOf(),
    val abandoned: RecentMap<String, ClaimKey> = RecentMap(ABANDONED_REMEMBERED),
    val outcomes: PersistentMap<Long, PendingOutcome> = persistentMapOf(),
) {
    /** New claims wait while this much is unrecorded: the records hold memory that must not be dropped. */
    val full: Boolean
        get() =
            asked.size >= ASKED_LIMIT || abandons.size >= ABANDONS_LIMIT || outcomes.size >= OUTCOMES_LIMIT

    val settled: Boolean
        get() = abandons.isEmpty() && outcomes.isEmpty()
}

/** [sends] counts the transmissions, because a repeated request may be decided after its first answer. */
internal data class AskedClaim(
    val requestNumber: Long,
    val key: ClaimKey,
    val requestDigest: String,
    val askedAt: Long,
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

/** [requestNumber] is the request whose answer waits for the record, if its caller is still there. */
internal data class PendingOutcome(
    val key: ClaimKey,
    val outcome: CallOutcome,
    val requestNumber: Long,
    val sentAt: Long,
)

// An outcome holds up to 16 KiB of body, so that 1,000 of them stay under a third of the 64 MB for a node.
private const val OUTCOMES_LIMIT = 1_000
private const val ABANDONS_LIMIT = 10_000
private const val ASKED_LIMIT = 1_000
private const val ABANDONED_REMEMBERED = 10_000
