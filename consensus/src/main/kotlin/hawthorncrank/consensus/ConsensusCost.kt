/*
 * Counts what agreement costs, for the bench: a group in memory without loss, one command after another or in bursts.
 * Counts do not depend on the machine.
 */
package hawthorncrank.consensus

import hawthorncrank.consensus.internal.MeasuredGroup

/** Bytes on links are those of the CBOR frames with their length; bytes on disk are those of the record's frame. */
data class ConsensusCost(
    val voters: Int,
    val burst: Int,
    val payloadBytes: Int,
    val messagesPerCommit: Double,
    val linkBytesPerCommit: Double,
    val diskBytesPerCommit: Double,
    val syncsPerCommit: Double,
    val allocatedBytesPerCommit: Double,
    val messagesPerHeartbeat: Double,
    val linkBytesPerHeartbeat: Double,
    val leaderLinkBytesPerSecondIdle: Double,
)

/** Commits [commands] commands of [payloadBytes] on the leader, [burst] at a time, then counts idle heartbeats. */
fun measureConsensusCost(
    voters: Int,
    commands: Int,
    payloadBytes: Int,
    burst: Int = 1,
): ConsensusCost {
    val settings = ReplicaSettings(emptyList())
    val group = MeasuredGroup(settings, voters)
    group.elect()
    repeat(WARM_UP) { group.commit(burst, payloadBytes) }
    val before = group.counts()
    repeat(commands / burst) { group.commit(burst, payloadBytes) }
    val busy = group.counts() - before
    group.idle(HEARTBEATS * settings.heartbeatInterval)
    val idle = group.counts() - before - busy
    val committed = (commands / burst * burst).toDouble()
    val heartbeatsPerSecond = MILLISECONDS_PER_SECOND / settings.heartbeatInterval
    return ConsensusCost(
        voters = voters,
        burst = burst,
        payloadBytes = payloadBytes,
        messagesPerCommit = busy.messages / committed,
        linkBytesPerCommit = busy.linkBytes / committed,
        diskBytesPerCommit = busy.diskBytes / committed / voters,
        syncsPerCommit = busy.syncs / committed / voters,
        allocatedBytesPerCommit = busy.allocatedBytes / committed,
        messagesPerHeartbeat = idle.messages / HEARTBEATS.toDouble(),
        linkBytesPerHeartbeat = idle.linkBytes / HEARTBEATS.toDouble(),
        // Every idle message comes from or goes to the leader.
        leaderLinkBytesPerSecondIdle = idle.linkBytes * heartbeatsPerSecond / HEARTBEATS,
    )
}

private const val WARM_UP = 200
private const val HEARTBEATS = 100
private const val MILLISECONDS_PER_SECOND = 1_000.0
