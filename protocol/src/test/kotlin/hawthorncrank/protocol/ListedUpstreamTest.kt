package hawthorncrank.protocol

import java.nio.ByteBuffer
import java.security.MessageDigest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals

class ListedUpstreamTest {
    private val engine = ListedUpstream("i-1", "model", "127.0.0.1:9000", "zone-a", slots = 64, leaving = false)

    /** With another revision, entries of other builds would be sent the whole list at each question during an update. */
    @Test
    fun `a list without reclaimable upstreams has the revision that earlier builds compute`() {
        val text =
            "ListedUpstream(name=i-1, service=model, address=127.0.0.1:9000, availabilityZone=zone-a, slots=64, " +
                "leaving=false)\n"
        val digest = MessageDigest.getInstance("SHA-256").digest(text.toByteArray())
        assertEquals(ByteBuffer.wrap(digest).getLong(), listOf(engine).revision())
    }

    @Test
    fun `an upstream that becomes reclaimable changes the revision`() {
        assertNotEquals(listOf(engine).revision(), listOf(engine.copy(reclaimable = true)).revision())
    }
}
