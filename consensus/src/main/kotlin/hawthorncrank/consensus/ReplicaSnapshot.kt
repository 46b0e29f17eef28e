package hawthorncrank.consensus

/** The application state after record [lastIndex], with the membership in force there. */
class ReplicaSnapshot(
    val lastIndex: Long,
    val lastTerm: Long,
    val membership: Membership,
    val bytes: ByteArray,
) {
    override fun toString(): String = "ReplicaSnapshot(lastIndex=$lastIndex, lastTerm=$lastTerm, ${bytes.size} bytes)"
}
