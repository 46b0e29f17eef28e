package hawthorncrank.link

import hawthorncrank.protocol.WireMessage
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.assertNotNull

/** Queues the callbacks of a link end, so that a test waits for an event and not for a fixed time. */
class RecordingListener : LinkListener {
    private val openedLinks = LinkedBlockingQueue<Link>()
    private val messages = LinkedBlockingQueue<WireMessage>()
    private val closeReasons = LinkedBlockingQueue<String>()

    override fun opened(link: Link) {
        openedLinks.add(link)
    }

    override fun received(
        link: Link,
        message: WireMessage,
    ) {
        messages.add(message)
    }

    override fun closed(
        link: Link,
        reason: String,
    ) {
        closeReasons.add(reason)
    }

    fun awaitOpened(): Link = await(openedLinks)

    fun awaitMessage(): WireMessage = await(messages)

    fun awaitClosed(): String = await(closeReasons)

    fun hasOpened(): Boolean = openedLinks.isNotEmpty()

    private fun <T> await(queue: LinkedBlockingQueue<T>): T =
        assertNotNull(queue.poll(TEST_LIMIT_SECONDS, TimeUnit.SECONDS), "nothing arrived in $TEST_LIMIT_SECONDS s")

    private companion object {
        const val TEST_LIMIT_SECONDS = 20L
    }
}
