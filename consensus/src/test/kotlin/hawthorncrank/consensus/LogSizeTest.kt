package hawthorncrank.consensus

import kotlin.test.Test
import kotlin.test.assertTrue

/** A record may be as large as a command, so a number of records does not limit the memory that a log takes. */
class LogSizeTest {
    private fun group() =
        SimulatedGroup(seed = 23) {
            it.copy(
                logBytesBetweenSnapshots = BETWEEN_SNAPSHOTS,
                logBytesKeptBeforeSnapshot = KEPT,
                maximumLogBytes = MAXIMUM,
                maximumBytesPerMessage = 16,
            )
        }.also(SimulatedGroup::awaitHealthy)

    /** Otherwise a leader whose disk hangs runs out of memory, since the others commit what it can't compact. */
    @Test
    fun `a leader whose disk stalls refuses commands before its log fills the memory, and accepts them afterwards`() {
        val group = group()
        val leader = group.leader!!
        leader.diskStalledUntil = group.now + 10_000
        repeat(1_000) {
            group.propose(leader.name, COMMAND)
            group.run(10)
            val state = group.state(leader.name)
            val limit = maxOf(MAXIMUM, 4 * state.snapshotBytes) + 2 * COMMAND.length
            assertTrue(state.logBytes <= limit, "${state.logBytes} bytes in the log, limit $limit")
        }
        group.run(2_000)
        assertTrue(group.commits(leader.name, 5_000), "no progress after the stall")
    }

    /** Otherwise a full log whose committed records no snapshot covers yet would stay full. */
    @Test
    fun `a large command that fills the log during a stall does not keep the leader from compacting it`() {
        val group = group()
        val leader = group.leader!!
        leader.diskStalledUntil = group.now + 10_000
        while (group.state(leader.name).logBytes < MAXIMUM - 2 * COMMAND.length) {
            group.propose(leader.name, COMMAND)
            group.run(10)
        }
        group.propose(leader.name, "x".repeat(2 * BETWEEN_SNAPSHOTS.toInt()))
        group.run(15_000)
        assertTrue(group.commits(leader.name, 5_000), "no progress after the stall")
    }

    /** Otherwise a follower that was away never catches up while the leader takes snapshots faster than it sends one. */
    @Test
    fun `a follower receives a whole snapshot while the leader takes newer ones`() {
        val group = group()
        val follower = group.followers().first()
        group.crash(follower)
        repeat(400) { group.propose(group.leader!!.name).also { group.run(20) } }
        group.start(follower)
        val before = group.state(follower).lastIndex
        repeat(2_000) {
            group.propose(group.leader!!.name)
            group.run(5)
        }
        assertTrue(group.state(follower).appliedIndex > before, "nothing new was applied at $before")
    }

    private companion object {
        const val BETWEEN_SNAPSHOTS = 10_000L
        const val KEPT = 2_000L
        const val MAXIMUM = 60_000L
        val COMMAND = "x".repeat(500)
    }
}
