package hawthorncrank.consensus

import hawthorncrank.protocol.LogRecord
import kotlin.random.Random

/** A disk simulated in memory. A crash keeps a random number of the oldest unsynced writes and loses the others. */
class FakeDisk(
    identity: String,
) {
    var durable = RecoveredReplica(identity)
        private set
    private val unsynced = ArrayDeque<ReplicaEffect.Persist>()

    fun write(effect: ReplicaEffect.Persist) {
        unsynced += effect
    }

    fun sync(token: Long) {
        while (unsynced.isNotEmpty() && unsynced.first().token <= token) durable = durable.with(unsynced.removeFirst())
    }

    fun crash(random: Random) {
        repeat(random.nextInt(unsynced.size + 1)) { durable = durable.with(unsynced.removeFirst()) }
        unsynced.clear()
    }

    fun isDurable(index: Long): Boolean = index <= (durable.snapshot?.lastIndex ?: 0) + durable.records.size
}

private fun RecoveredReplica.with(effect: ReplicaEffect.Persist): RecoveredReplica =
    when (effect) {
        is ReplicaEffect.PersistVote -> copy(vote = effect.vote)
        is ReplicaEffect.PersistRecords ->
            copy(
                records =
                    records.takeWhile { it.index < effect.records.first().index } + effect.records,
            )
        is ReplicaEffect.PersistSnapshot -> copy(snapshot = effect.snapshot, records = recordsAfter(effect))
    }

private fun RecoveredReplica.recordsAfter(effect: ReplicaEffect.PersistSnapshot): List<LogRecord> =
    if (effect.retainRecords) records.dropWhile { it.index <= effect.snapshot.lastIndex } else emptyList()
