package hawthorncrank.consensus.internal

import hawthorncrank.protocol.ReplicaMember

/** A replica outside the group that asked to be admitted, and when it was last told which voters it can ask. */
internal data class WaitingReplica(
    val member: ReplicaMember,
    val heardAt: Long,
    val notifiedAt: Long? = null,
)
