package hawthorncrank.link

import hawthorncrank.protocol.LinkRole

/** Who this end is, and the key that all processes of the fleet share. */
data class LinkSettings(
    val role: LinkRole,
    val name: String,
    val fleetKey: String,
    val heartbeatMilliseconds: Long = 1_000,
    val silenceMilliseconds: Long = 4_000,
    val outgoingMessages: Int = 10_000,
    val longestReconnectMilliseconds: Long = 2_000,
)

/** The settings with a heartbeat of the deployment's own, or unchanged where it has none. */
fun LinkSettings.withHeartbeat(milliseconds: Long?): LinkSettings {
    milliseconds ?: return this
    return copy(
        heartbeatMilliseconds = milliseconds,
        silenceMilliseconds = milliseconds * HEARTBEATS_OF_SILENCE,
        longestReconnectMilliseconds = milliseconds,
    )
}

// As in the defaults: a link is closed after four missing heartbeats.
private const val HEARTBEATS_OF_SILENCE = 4
