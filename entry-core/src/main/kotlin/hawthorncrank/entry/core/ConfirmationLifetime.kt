package hawthorncrank.entry.core

/**
 * How many milliseconds a confirmation that the configuration is the newest stays valid, or null if nothing bounds the
 * time for which a revoked key may still be accepted.
 *
 * A revoked key must be refused within [keyRevocation] in any case. Versions that other replicas accept after a cut
 * must be obeyed once [contactTime] has passed since the cut, even if the entry's replica still is behind it. No
 * confirmation is given across a cut, so one that expires within [contactTime] is never in use at that moment.
 */
fun confirmationLifetime(
    keyRevocation: Long?,
    contactTime: Long?,
): Long? {
    keyRevocation ?: return null
    val bound = minOf(keyRevocation, contactTime ?: keyRevocation)
    // The remaining tenth is for sending a checked request to the upstream.
    return bound * 9 / 10
}
