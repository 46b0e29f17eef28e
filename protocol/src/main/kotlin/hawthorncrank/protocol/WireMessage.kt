package hawthorncrank.protocol

import kotlinx.serialization.Serializable

/** A message on a link between the system's own processes. */
@Serializable
sealed interface WireMessage

/** Sent by a link end that has no other message to send, so that its peer can detect a dead link. */
@Serializable
data object Heartbeat : WireMessage

/** The kind of process at one end of a link. */
@Serializable
enum class LinkRole { ENTRY, REPLICA, OPERATOR, ZONE_PEER }
