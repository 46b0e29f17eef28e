/*
 * Counts the messages, bytes and disk syncs that consensus needs, for the benchmark. The group runs in memory without
 * message loss and commits commands one at a time or in bursts. The counts do not depend on the machine.
 */
package hawthorncrank.consensus

import hawthorncrank.consensus.internal.MeasuredGroup

/** Link bytes include each CBOR frame and its length prefix; disk bytes include the frame around each record. */
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
    group.formAndElect()
    repeat(WARM_UP_COMMITS) { group.commit(burst, payloadBytes) }
    val before = group.counts()
    repeat(commands / burst) { group.commit(burst, payloadBytes) }
    val busy = group.counts() - before
    group.idle(IDLE_HEARTBEATS * settings.heartbeatInterval)
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
        messagesPerHeartbeat = idle.messages / IDLE_HEARTBEATS.toDouble(),
        linkBytesPerHeartbeat = idle.linkBytes / IDLE_HEARTBEATS.toDouble(),
        // Every idle message comes from or goes to the leader.
        leaderLinkBytesPerSecondIdle = idle.linkBytes * heartbeatsPerSecond / IDLE_HEARTBEATS,
    )
}

private const val WARM_UP_COMMITS = 200
private const val IDLE_HEARTBEATS = 100
private const val MILLISECONDS_PER_SECOND = 1_000.0
