package hawthorncrank.link.internal

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.asCoroutineDispatcher
import java.util.concurrent.Executors

/**
 * Waits for the sockets of all links of this process, on its own thread. A selector blocks its thread while it waits.
 * With one selector for each link on the shared threads, a process with more links than threads would handle a message
 * only when a selector's wait of half a second ends.
 */
internal val linkSelector: SelectorManager by lazy {
    val thread =
        Executors.newSingleThreadExecutor { work ->
            Thread(work, "link-selector").apply { isDaemon = true }
        }
    SelectorManager(thread.asCoroutineDispatcher())
}
