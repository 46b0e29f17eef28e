package hawthorncrank.entry.internal

import hawthorncrank.entry.internal.RoutedEntryFixture.route
import java.io.IOException
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicLong
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * Guards against an entry that runs out of memory because one engine sends several answers without end at once. Each
 * of them is cut off at a limit of its own, but their sum must leave memory to the requests of other callers.
 */
class EndlessAnswersTest {
    @Test
    fun `endless answers at once leave half of the memory to other requests`() {
        val allSent = CountDownLatch(ENGINE_SLOTS)
        val accepted = AtomicLong()
        val acceptedAtFirstCut = CompletableFuture<Long>()
        val answer: (Socket) -> Unit = { socket ->
            socket.getInputStream().read(ByteArray(READ_BYTES))
            allSent.countDown()
            allSent.await()
            try {
                socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\n".toByteArray())
                while (true) {
                    socket.getOutputStream().write(BLOCK)
                    accepted.addAndGet(BLOCK.size.toLong())
                }
            } catch (_: IOException) {
                acceptedAtFirstCut.complete(accepted.get())
            }
        }
        SocketUpstream(answer).use { upstream ->
            RoutedEntryFixture.entry(upstream.port, listOf(route("/call/", 1))).use { entry ->
                val calls =
                    List(ENGINE_SLOTS) { number ->
                        CompletableFuture.runAsync({ call(entry.httpPort, number) }) { Thread(it).start() }
                    }
                val bytes = acceptedAtFirstCut.join()
                calls.forEach { it.join() }
                assertTrue(bytes < PROCESS_HEAP_BYTES / 2, "the entry held $bytes bytes of answers without end")
            }
        }
    }

    private fun call(
        port: Int,
        number: Int,
    ) {
        try {
            RoutedEntryFixture.send(port, "/call/", "attempt-$number")
        } catch (_: IOException) {
            // The entry may close the connection instead of answering.
        }
    }

    private companion object {
        const val ENGINE_SLOTS = 6
        const val READ_BYTES = 8_192

        /** The heap that deploy/system.toml gives an entry. */
        const val PROCESS_HEAP_BYTES = 126L shl 20
        val BLOCK = ByteArray(16_384)
    }
}
