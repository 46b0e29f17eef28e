package hawthorncrank.consensus

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import hawthorncrank.consensus.internal.HeldRecords
import hawthorncrank.protocol.LogRecord
import hawthorncrank.protocol.RecordKind
import hawthorncrank.protocol.ReplicaMember
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

class FileReplicaStorageTest {
    @TempDir
    lateinit var folder: Path

    private fun opened(): Pair<ReplicaStorage, RecoveredReplica> {
        val storage = replicaStorage(folder)
        return storage to assertNotNull(storage.open().get())
    }

    private fun reopened(): RecoveredReplica {
        val (storage, recovered) = opened()
        storage.close()
        return recovered
    }

    private fun failure(): StorageFailure? = replicaStorage(folder).use { it.open().getError() }

    private fun records(range: IntRange) =
        range.map { LogRecord(it.toLong(), 1, RecordKind.COMMAND, "command $it".encodeToByteArray()) }

    private fun write(records: List<LogRecord>) {
        val (storage, _) = opened()
        storage.use {
            it.persistVote(VoteState("group", 1, null))
            it.append(records)
            it.sync()
        }
    }

    private fun segment(): Path = folder.listDirectoryEntries("log-*").last()

    @Test
    fun `an empty folder gets a persistent random identity`() {
        val first = reopened()
        assertEquals(32, first.identity.length)
        assertEquals(first, reopened())
        val (storage, _) = opened()
        storage.use { assertIs<StorageFailure.InUse>(failure()) }
    }

    /** Fails if a replica cannot start on the log of a build that let it grow as large as the memory. */
    @Test
    fun `a log as large as the memory of a node takes less than half of it after a start`() {
        val document = List(1_400) { """{"name":"r-x$it","path_prefix":"/p$it/","timeout_ms":2000}""" }.joinToString()
        val records =
            List(900) { LogRecord(it + 1L, 1, RecordKind.COMMAND, "$it: $document".encodeToByteArray()) }
        val payloadBytes = records.sumOf { it.payload.size.toLong() }
        assertTrue(payloadBytes > NODE_BYTES, "$payloadBytes")
        write(records)
        val recovered = reopened().records
        val heldBytes = assertIs<HeldRecords>(recovered).held.sumOf { it.heldBytes }
        println("log of $payloadBytes bytes held in $heldBytes")
        assertTrue(heldBytes < NODE_BYTES / 2, "$heldBytes of $payloadBytes")
        assertEquals(records, recovered)
    }

    /** Fails if a restart reports an error for a record that a crash left incomplete, or accepts it as valid. */
    @Test
    fun `an incomplete last record of any length is removed`() {
        write(records(1..3))
        val whole = Files.readAllBytes(segment())
        val lastStart = whole.size * 2 / 3
        for (length in whole.size - 1 downTo lastStart) {
            Files.write(segment(), whole.copyOf(length))
            val recovered = reopened()
            assertEquals(records(1..2), recovered.records)
            assertEquals((length - lastStart).toLong(), recovered.truncatedBytes)
            assertEquals(lastStart.toLong(), Files.size(segment()))
        }
        write(records(3..4))
        assertEquals(records(1..4), reopened().records)
    }

    /** Fails if a replica silently loses records that it acknowledged. */
    @Test
    fun `a changed byte before valid records is reported as corruption with a remedy`() {
        write(records(1..20))
        val whole = Files.readAllBytes(segment())
        val lastStart = whole.size - whole.size / 20 - 5
        for (position in 0 until lastStart step 7) {
            Files.write(segment(), whole.copyOf().also { it[position] = (it[position] + 1).toByte() })
            val failure = assertIs<StorageFailure.Corrupt>(failure(), "byte $position")
            assertContains(failure.message, "remove the data folder")
        }
    }

    @Test
    fun `damaged or missing identity and vote files are reported as corruption`() {
        write(records(1..2))
        val vote = Files.readAllBytes(folder.resolve("vote"))
        Files.write(folder.resolve("vote"), vote.also { it[9] = 0 })
        assertIs<StorageFailure.Corrupt>(failure())
        Files.delete(folder.resolve("vote"))
        assertIs<StorageFailure.Corrupt>(failure())
        Files.delete(folder.resolve("identity"))
        assertIs<StorageFailure.Corrupt>(failure())
    }

    /** Fails if the recovered files differ from the state that the reducer expects after the same writes. */
    @Test
    fun `random writes are recovered with the same result as on the simulated disk`() {
        val random = Random(SEED)
        val disk = FakeDisk(reopened().identity)
        var (storage, current) = opened()
        repeat(1_500) { step ->
            val effect = randomEffect(random, current, step.toLong())
            assertNotNull(storage.persist(effect).get())
            disk.write(effect)
            disk.sync(effect.token)
            current = disk.durable
            if (random.nextInt(25) > 0) return@repeat
            storage.sync()
            storage.close()
            val (next, recovered) = opened()
            storage = next
            assertEquals(current.copy(snapshot = null), recovered.copy(snapshot = null), "step $step, seed $SEED")
            assertEquals(current.snapshot?.toString(), recovered.snapshot?.toString())
            assertTrue(current.snapshot?.bytes.contentEquals(recovered.snapshot?.bytes))
        }
        storage.close()
    }

    private fun randomEffect(
        random: Random,
        current: RecoveredReplica,
        step: Long,
    ): ReplicaEffect.Persist {
        val base = current.snapshot?.lastIndex ?: 0
        val last = base + current.records.size
        if (current.vote.group == null || random.nextInt(10) == 0) {
            return ReplicaEffect.PersistVote(step, VoteState("group", step, "voter"))
        }
        if (random.nextInt(20) == 0 && last > base) {
            val retain = random.nextBoolean()
            val index = if (retain) random.nextLong(base + 1, last + 1) else last + random.nextLong(1, 50)
            val term = if (retain) current.records[(index - base - 1).toInt()].term else step
            val members = Membership(listOf(ReplicaMember("a", "b", "c")))
            val snapshot = ReplicaSnapshot(index, term, members, random.nextBytes(random.nextInt(5_000)))
            return ReplicaEffect.PersistSnapshot(step, snapshot, retain)
        }
        val first = if (random.nextInt(4) == 0) random.nextLong(base + 1, last + 2) else last + 1
        val written =
            List(random.nextInt(1, 20)) {
                LogRecord(first + it, step, RecordKind.COMMAND, random.nextBytes(random.nextInt(3_000)))
            }
        return ReplicaEffect.PersistRecords(step, written)
    }

    /** Simulates a crash after a snapshot was saved and before the conflicting log was deleted. */
    @Test
    fun `a log that conflicts with the snapshot is discarded`() {
        write(records(1..10))
        val log = Files.readAllBytes(segment())
        val path = segment()
        val (storage, _) = opened()
        storage.use { it.saveSnapshot(ReplicaSnapshot(5, 7, Membership(), ByteArray(3)), retainRecords = false) }
        Files.write(path, log)
        val recovered = reopened()
        assertEquals(5, recovered.snapshot?.lastIndex)
        assertEquals(emptyList(), recovered.records)
    }

    /** Fails if the restart time grows with the history: only a snapshot and the few records after it may be read. */
    @Test
    fun `a replica restarts after 10,000 records from a snapshot and the records after it`() {
        val settings = ReplicaSettings(emptyList())
        val reducer = replicaReducer(settings)
        val (storage, recovered) = opened()
        var state = startReplica(settings, "a", "a", recovered, SEED, 0).state
        var now = 0L
        var applied = 0L

        fun reduce(event: ReplicaEvent) {
            val transition = reducer.reduce(state, event, now)
            state = transition.state
            val persists = transition.effects.filterIsInstance<ReplicaEffect.Persist>()
            persists.forEach { assertNotNull(storage.persist(it).get()) }
            transition.effects.filterIsInstance<ReplicaEffect.ApplyRecords>().forEach { applied += it.records.size }
            transition.effects.filterIsInstance<ReplicaEffect.CaptureSnapshot>().forEach {
                reduce(ReplicaEvent.SnapshotCaptured(it.index, "$applied".encodeToByteArray()))
            }
            if (persists.isNotEmpty()) reduce(ReplicaEvent.StorageSynced(persists.last().token))
        }

        reduce(ReplicaEvent.FormGroup(0, listOf(state.self)))
        while (state.role != ReplicaRole.LEADER) {
            now += 100
            reduce(ReplicaEvent.Tick)
        }
        repeat(10_000) { reduce(ReplicaEvent.ProposeCommand(it + 1L, "change $it".encodeToByteArray())) }
        assertEquals(10_002, state.committedIndex)
        storage.sync()
        storage.close()

        val restarted = reopened()
        assertEquals(10_000, restarted.snapshot?.lastIndex)
        assertEquals("10000", restarted.snapshot?.bytes?.decodeToString())
        assertEquals(listOf(10_001L, 10_002L), restarted.records.map { it.index })
        val again = startReplica(settings, "a", "a", restarted, SEED, now)
        assertEquals(10_000, again.state.appliedIndex)
        assertEquals(10_002, again.state.lastIndex)
        assertEquals(state.membership, again.state.membership)
        assertIs<ReplicaEffect.InstallSnapshot>(again.effects.single())
    }
}

private const val SEED = 20_260L
private const val NODE_BYTES = 64_000_000L
