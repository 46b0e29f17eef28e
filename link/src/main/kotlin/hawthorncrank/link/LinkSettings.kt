package hawthorncrank.link

import hawthorncrank.protocol.LinkRole

/** The role and name of this link end, the key that all processes of the fleet share, and the limits of its links. */
data class LinkSettings(
    val role: LinkRole,
    val name: String,
    val fleetKey: String,
    val heartbeatMilliseconds: Long = 1_000,
    val silenceMilliseconds: Long = 4_000,
    val outgoingMessages: Int = 10_000,
    val longestReconnectMilliseconds: Long = 2_000,
)

/** Returns the settings with the deployment's own heartbeat interval, or unchanged if it sets none. */
fun LinkSettings.withHeartbeat(milliseconds: Long?): LinkSettings {
    milliseconds ?: return this
    return copy(
        heartbeatMilliseconds = milliseconds,
        silenceMilliseconds = milliseconds * MISSED_HEARTBEATS_LIMIT,
        longestReconnectMilliseconds = milliseconds,
    )
}

// As in the defaults: a link is closed after four missing heartbeats.
private const val MISSED_HEARTBEATS_LIMIT = 4
