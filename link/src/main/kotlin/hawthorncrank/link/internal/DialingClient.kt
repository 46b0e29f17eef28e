package hawthorncrank.link.internal

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import hawthorncrank.common.EventLog
import hawthorncrank.link.LinkClient
import hawthorncrank.link.LinkEventCode
import hawthorncrank.link.LinkFailure
import hawthorncrank.link.LinkListener
import hawthorncrank.link.LinkSettings
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.cancel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout

internal class DialingClient(
    private val settings: LinkSettings,
    addresses: List<InetSocketAddress>,
    listener: LinkListener,
    private val eventLog: EventLog,
) : LinkClient {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val opener = LinkOpener(settings, listener, eventLog)
    private var nextPosition = 0

    @Volatile private var addresses = addresses

    fun start() {
        scope.launch { keepLinked() }
    }

    private suspend fun keepLinked() {
        var wait = SHORTEST_WAIT_MILLISECONDS
        while (true) {
            val linked = runFirstLink()
            wait = if (linked) SHORTEST_WAIT_MILLISECONDS else minOf(wait * 2, settings.longestReconnectMilliseconds)
            delay(wait)
        }
    }

    /**
     * Runs a link to the first address that answers; returns false if none does. After a loss the next round starts
     * with the address after the lost one, so that the client does not keep returning to a replica of no use to it.
     */
    private suspend fun runFirstLink(): Boolean {
        val current = addresses
        repeat(current.size) {
            val address = current[nextPosition % current.size]
            nextPosition = (nextPosition + 1) % current.size
            if (runLink(address)) return true
        }
        return false
    }

    /** Runs a link until it ends, which is not an error; returns false if the link could not be opened. */
    private suspend fun runLink(address: InetSocketAddress): Boolean {
        try {
            val socket =
                withTimeout(
                    CONNECT_TIMEOUT_MILLISECONDS,
                ) { aSocket(linkSelector).tcp().connect(address) { noDelay = true } }
            socket.use { opener.asClient(it).run() }
            return true
        } catch (failure: TimeoutCancellationException) {
            logRefusal(address, failure)
        } catch (failure: Exception) {
            currentCoroutineContext().ensureActive()
            logRefusal(address, failure)
        }
        return false
    }

    private fun logRefusal(
        address: InetSocketAddress,
        failure: Exception,
    ) {
        if (failure !is HandshakeException) return
        eventLog.record(LinkEventCode.HANDSHAKE_REFUSED, "peer" to address, "reason" to failure.message)
    }

    override fun useAddresses(addresses: List<String>): Result<Unit, LinkFailure> {
        this.addresses = addresses.map { parseAddress(it) ?: return Err(LinkFailure.MalformedAddress(it)) }
        return Ok(Unit)
    }

    override fun close() = scope.cancel()

    private companion object {
        const val CONNECT_TIMEOUT_MILLISECONDS = 1_000L
        const val SHORTEST_WAIT_MILLISECONDS = 100L
    }
}
