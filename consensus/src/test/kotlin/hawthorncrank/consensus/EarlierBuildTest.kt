/*
 * During an upgrade, replicas of two builds run side by side, and each starts on files that the other has written. The
 * recorded bytes in `src/test/resources/a49f3e4` were written by this code at that commit. `-Dhawthorncrank.record=FOLDER`
 * writes them to a folder instead of comparing them.
 */
package hawthorncrank.consensus

import com.github.michaelbull.result.get
import hawthorncrank.protocol.LogRecord
import hawthorncrank.protocol.RecordKind
import hawthorncrank.protocol.ReplicaEnvelope
import hawthorncrank.protocol.ReplicaMember
import hawthorncrank.protocol.ReplicaMessage
import hawthorncrank.protocol.WireMessage
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Files
import java.nio.file.Path
import java.util.HexFormat
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

@OptIn(ExperimentalSerializationApi::class)
class EarlierBuildTest {
    @TempDir
    lateinit var folder: Path

    private val members = listOf("a", "b", "c").map { ReplicaMember(it, "$it-1", "127.0.0.1:7101") }
    private val membership = Membership(members)
    private val vote = VoteState("group-1", 3, "a-1")
    private val records =
        List(6) {
            val payload = ByteArray(40 * it) { byte -> byte.toByte() }
            LogRecord(it + 1L, 1L + it / 3, RecordKind.entries[it % 3], payload)
        }
    private val snapshot = ReplicaSnapshot(4, 2, membership, ByteArray(300) { it.toByte() })
    private val messages =
        listOf(
            ReplicaMessage.Append(3, 1, records.takeLast(2), 4, 9),
            ReplicaMessage.AppendAnswer(true, 5, 9),
            ReplicaMessage.InstallSnapshot(4, 2, byteArrayOf(1, 2), 0, snapshot.bytes, last = true, 9),
            ReplicaMessage.SnapshotAnswer(4, 300, 9),
            ReplicaMessage.ForwardedCommand(7, byteArrayOf(3)),
            ReplicaMessage.ForwardedAnswer(7, null, refused = true),
        ).map { ReplicaEnvelope("group-1", members[0], "b-1", 3, it) }

    private fun writeFiles() =
        replicaStorage(folder).use { storage ->
            assertNotNull(storage.open().get())
            storage.persistVote(vote)
            storage.append(records.take(3))
            storage.append(records.drop(3))
            storage.saveSnapshot(snapshot, retainRecords = true)
            storage.sync()
        }

    private fun check(
        name: String,
        bytes: ByteArray,
    ) {
        val hex = HexFormat.of().formatHex(bytes)
        val target = System.getProperty("hawthorncrank.record")?.let { Path.of(it, "$name.hex") }
        if (target == null) assertEquals(recorded(name), hex, name) else Files.writeString(target, "$hex\n")
    }

    private fun recorded(name: String): String =
        assertNotNull(javaClass.getResource("/a49f3e4/$name.hex"), name).readText().trim()

    /** Fails if a replica of the earlier build cannot start on files of this one. */
    @Test
    fun `the files of a replica are those that the earlier build writes`() {
        writeFiles()
        val files = folder.listDirectoryEntries().filter { it.name != "identity" && it.name != "lock" }
        assertEquals(3, files.size)
        files.forEach { check(it.name, Files.readAllBytes(it)) }
    }

    /** Fails if this build cannot start on files of the earlier one. */
    @Test
    fun `files of the earlier build are read`() {
        writeFiles()
        listOf("vote", "log-0000000000000000001", "snapshot-0000000000000000004").forEach {
            Files.write(folder.resolve(it), HexFormat.of().parseHex(recorded(it)))
        }
        val recovered = replicaStorage(folder).use { assertNotNull(it.open().get()) }
        assertEquals(vote, recovered.vote)
        assertEquals(records.drop(4), recovered.records)
        assertEquals(membership, recovered.snapshot?.membership)
        assertContentEquals(snapshot.bytes, recovered.snapshot?.bytes)
    }

    /** Fails if replicas of the two builds cannot read each other's messages. */
    @Test
    fun `messages between replicas are those of the earlier build`() {
        val encoded = messages.map { Cbor.encodeToByteArray<WireMessage>(it) }
        encoded.forEachIndexed { index, bytes -> check("message-$index", bytes) }
        encoded.forEachIndexed { index, bytes ->
            val read = Cbor.decodeFromByteArray<WireMessage>(HexFormat.of().parseHex(recorded("message-$index")))
            assertContentEquals(bytes, Cbor.encodeToByteArray<WireMessage>(read))
        }
    }
}
