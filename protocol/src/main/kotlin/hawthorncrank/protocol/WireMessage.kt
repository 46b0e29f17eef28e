package hawthorncrank.protocol

import kotlinx.serialization.Serializable

/** Everything that travels on links between the system's own processes. */
@Serializable
sealed interface WireMessage

/** Sent by the end of a link that has nothing else to say, so that a silent link is noticed. */
@Serializable
data object Heartbeat : WireMessage

/** What the end that opens a link is. */
@Serializable
enum class LinkRole { ENTRY, REPLICA, OPERATOR, ZONE_PEER }
