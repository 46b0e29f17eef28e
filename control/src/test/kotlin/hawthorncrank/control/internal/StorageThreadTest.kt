package hawthorncrank.control.internal

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import hawthorncrank.common.EventLog
import hawthorncrank.consensus.RecoveredReplica
import hawthorncrank.consensus.ReplicaEffect
import hawthorncrank.consensus.ReplicaEvent
import hawthorncrank.consensus.ReplicaSnapshot
import hawthorncrank.consensus.ReplicaStorage
import hawthorncrank.consensus.StorageFailure
import hawthorncrank.consensus.VoteState
import hawthorncrank.control.ControlCodec
import hawthorncrank.control.ControlState
import hawthorncrank.protocol.LogRecord
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

class StorageThreadTest {
    private val sent = LinkedBlockingQueue<ReplicaEvent>()
    private val failed = CountDownLatch(1)
    private val calls = ArrayList<String>()

    @Test
    fun `submitted effects are synced before they are reported, in order and with one sync for all queued ones`() {
        val thread = thread(syncResult = Ok(Unit))
        (1L..3L).forEach { thread.submit(vote(it)) }
        thread.start()
        thread.stop()
        assertEquals(listOf("vote 1", "vote 2", "vote 3", "sync", "close"), calls)
        assertEquals(listOf<ReplicaEvent>(ReplicaEvent.StorageSynced(3)), sent.toList())
    }

    @Test
    fun `a disk failure stops the replica and nothing is reported as synced`() {
        val thread = thread(syncResult = Err(StorageFailure.Unusable("folder", "no space")))
        thread.submit(vote(1))
        thread.start()
        assertTrue(failed.await(10, TimeUnit.SECONDS), "the failure is not reported")
        thread.submit(vote(2))
        thread.stop()
        assertEquals(emptyList(), sent.toList())
        assertTrue("vote 2" !in calls, "the storage is used after a failure")
    }

    @Test
    fun `a snapshot contains the state that was submitted`() {
        val thread = thread(syncResult = Ok(Unit))
        thread.submit(ControlEffect.EncodeSnapshot(7, ControlState(version = 5)))
        thread.start()
        val captured = assertIs<ReplicaEvent.SnapshotCaptured>(assertNotNull(sent.poll(10, TimeUnit.SECONDS)))
        thread.stop()
        assertEquals(7, captured.index)
        assertEquals(ControlState(version = 5), ControlCodec.decodeState(captured.bytes))
    }

    private fun vote(token: Long) = ControlEffect.Persist(ReplicaEffect.PersistVote(token, VoteState("group", token)))

    private fun thread(syncResult: Result<Unit, StorageFailure>) =
        StorageThread(FakeStorage(syncResult), EventLog { _, _ -> }, sent::add) { failed.countDown() }

    private inner class FakeStorage(
        private val syncResult: Result<Unit, StorageFailure>,
    ) : ReplicaStorage {
        override fun open() = Ok(RecoveredReplica("identity"))

        override fun append(records: List<LogRecord>) = called("append")

        override fun truncate(fromIndex: Long) = called("truncate")

        override fun persistVote(vote: VoteState) = called("vote ${vote.term}")

        override fun saveSnapshot(
            snapshot: ReplicaSnapshot,
            retainRecords: Boolean,
        ) = called("snapshot")

        override fun sync(): Result<Unit, StorageFailure> {
            calls += "sync"
            return syncResult
        }

        override fun close() {
            calls += "close"
        }

        private fun called(name: String): Result<Unit, StorageFailure> {
            calls += name
            return Ok(Unit)
        }
    }
}
