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
