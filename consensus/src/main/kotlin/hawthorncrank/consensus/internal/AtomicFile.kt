/*
 * Files that are replaced atomically: the content is written to a temporary file, which is synced and renamed, and then
 * the folder is synced. After a crash the file has either the old or the new content.
 */
package hawthorncrank.consensus.internal

import hawthorncrank.consensus.Membership
import hawthorncrank.consensus.ReplicaSnapshot
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption.ATOMIC_MOVE
import java.nio.file.StandardOpenOption.CREATE
import java.nio.file.StandardOpenOption.READ
import java.nio.file.StandardOpenOption.TRUNCATE_EXISTING
import java.nio.file.StandardOpenOption.WRITE

internal fun replaceFile(
    path: Path,
    content: ByteBuffer,
) {
    val temporary = path.resolveSibling(path.fileName.toString() + TEMPORARY_SUFFIX)
    FileChannel.open(temporary, CREATE, WRITE, TRUNCATE_EXISTING).use { channel ->
        while (content.hasRemaining()) channel.write(content)
        channel.force(true)
    }
    Files.move(temporary, path, ATOMIC_MOVE)
    syncFolder(path.parent)
}

internal fun syncFolder(folder: Path) = FileChannel.open(folder, READ).use { it.force(true) }

@OptIn(ExperimentalSerializationApi::class)
internal fun <T> encodeFile(
    serializer: SerializationStrategy<T>,
    value: T,
): ByteBuffer = frame(ByteBuffer.wrap(Cbor.encodeToByteArray(serializer, value)))

/** Returns null if the checksum is wrong or the content cannot be decoded. */
@OptIn(ExperimentalSerializationApi::class)
internal fun <T> decodeFile(
    path: Path,
    serializer: DeserializationStrategy<T>,
): T? {
    val payload = payloadAt(ByteBuffer.wrap(Files.readAllBytes(path)), 0) ?: return null
    return try {
        Cbor.decodeFromByteArray(serializer, ByteArray(payload.remaining()).also(payload::get))
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }
}

@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class SnapshotFile(
    val lastIndex: Long,
    val lastTerm: Long,
    val membership: Membership,
    @ByteString val bytes: ByteArray,
) {
    constructor(snapshot: ReplicaSnapshot) :
        this(snapshot.lastIndex, snapshot.lastTerm, snapshot.membership, snapshot.bytes)

    fun snapshot() = ReplicaSnapshot(lastIndex, lastTerm, membership, bytes)
}

internal const val TEMPORARY_SUFFIX = ".temporary"
