package hawthorncrank.link.internal

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.asCoroutineDispatcher
import java.util.concurrent.Executors

/**
 * Waits for the sockets of all links of this process, on a thread of its own. A selector holds its thread while it waits;
 * with one for each link on the shared threads, a process with more links than threads handles each message only when a
 * wait of half a second ends.
 */
internal val linkSelector: SelectorManager by lazy {
    val thread =
        Executors.newSingleThreadExecutor { work ->
            Thread(work, "link-selector").apply { isDaemon = true }
        }
    SelectorManager(thread.asCoroutineDispatcher())
}
