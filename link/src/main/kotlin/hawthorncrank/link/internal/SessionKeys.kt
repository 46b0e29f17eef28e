package hawthorncrank.link.internal

import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** Derives the handshake's proofs and the frame MACs of both directions from the fleet key and both greetings. */
internal class SessionKeys(
    fleetKey: String,
    clientGreeting: Greeting,
    serverGreeting: Greeting,
) {
    private val fleetMac = macWith(fleetKey.toByteArray())
    private val transcript = Cbor.encodeToByteArray(clientGreeting) + Cbor.encodeToByteArray(serverGreeting)

    val clientProof: ByteArray = derive("client proof")
    val serverProof: ByteArray = derive("server proof")

    fun clientFrameMac(): Mac = macWith(derive("client frames"))

    fun serverFrameMac(): Mac = macWith(derive("server frames"))

    private fun derive(purpose: String): ByteArray {
        fleetMac.update(purpose.toByteArray())
        return fleetMac.doFinal(transcript)
    }
}

private const val MAC_ALGORITHM = "HmacSHA256"

private fun macWith(key: ByteArray): Mac =
    Mac.getInstance(MAC_ALGORITHM).apply { init(SecretKeySpec(key, MAC_ALGORITHM)) }
