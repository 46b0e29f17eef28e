package hawthorncrank.link.internal

import hawthorncrank.link.LinkSettings
import hawthorncrank.protocol.LinkRole
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import java.io.IOException
import java.security.MessageDigest
import java.security.SecureRandom

/**
 * Mutual authentication by the fleet key. Each end sends a greeting with a fresh nonce and then, as proof that it has
 * the key, a MAC over both greetings. A recorded handshake therefore cannot be replayed, and an end without the key
 * gets only the other's greeting and, as a client, its proof. The MAC keys of later frames are derived from the same
 * greetings.
 */
internal class Handshake(
    private val settings: LinkSettings,
    private val input: ByteReadChannel,
    private val output: ByteWriteChannel,
) {
    suspend fun asClient(): AuthenticatedPeer {
        val own = greeting()
        writeGreeting(own)
        val peer = readGreeting()
        val session = SessionKeys(settings.fleetKey, clientGreeting = own, serverGreeting = peer)
        verifyProof(session.serverProof)
        writeProof(session.clientProof)
        return accept(peer, session)
    }

    suspend fun asServer(acceptedRoles: Set<LinkRole>): AuthenticatedPeer {
        val peer = readGreeting()
        if (peer.role !in acceptedRoles) throw HandshakeException("role ${peer.role} is not accepted on this port")
        val own = greeting()
        writeGreeting(own)
        val session = SessionKeys(settings.fleetKey, clientGreeting = peer, serverGreeting = own)
        writeProof(session.serverProof)
        verifyProof(session.clientProof)
        return accept(peer, session)
    }

    private fun accept(
        peer: Greeting,
        session: SessionKeys,
    ): AuthenticatedPeer {
        if (peer.protocolVersion != PROTOCOL_VERSION) {
            throw HandshakeException("protocol version ${peer.protocolVersion} instead of $PROTOCOL_VERSION")
        }
        return AuthenticatedPeer(peer.role, peer.name, session)
    }

    private fun greeting(): Greeting {
        val nonce = ByteArray(NONCE_BYTES).also(random::nextBytes)
        return Greeting(PROTOCOL_VERSION, settings.role, settings.name, nonce)
    }

    private suspend fun writeGreeting(greeting: Greeting) = writeBlock(Cbor.encodeToByteArray(greeting))

    private suspend fun writeProof(proof: ByteArray) = writeBlock(proof)

    private suspend fun writeBlock(bytes: ByteArray) {
        output.writeInt(bytes.size)
        output.writeByteArray(bytes)
        output.flush()
    }

    private suspend fun readBlock(): ByteArray {
        val size = input.readInt()
        if (size !in 1..HANDSHAKE_LIMIT_BYTES) throw HandshakeException("handshake block of $size bytes")
        return input.readByteArray(size)
    }

    private suspend fun readGreeting(): Greeting {
        val greeting = Cbor.decodeFromByteArray<Greeting>(readBlock())
        if (greeting.nonce.size != NONCE_BYTES) {
            throw HandshakeException("nonce of ${greeting.nonce.size} bytes instead of $NONCE_BYTES")
        }
        return greeting
    }

    private suspend fun verifyProof(expected: ByteArray) {
        if (!MessageDigest.isEqual(expected, readBlock())) throw HandshakeException("the fleet keys differ")
    }

    private companion object {
        const val PROTOCOL_VERSION = 1
        const val NONCE_BYTES = 16
        const val HANDSHAKE_LIMIT_BYTES = 4 * 1024
        val random = SecureRandom()
    }
}

/** The first handshake block that each end sends. */
@Serializable
internal class Greeting(
    val protocolVersion: Int,
    val role: LinkRole,
    val name: String,
    val nonce: ByteArray,
)

/** The authenticated role and name of the other end, and the keys of the session with it. */
internal class AuthenticatedPeer(
    val role: LinkRole,
    val name: String,
    val session: SessionKeys,
)

internal class HandshakeException(
    reason: String,
) : IOException(reason)
