package hawthorncrank.entry.internal

import reactor.core.publisher.Flux
import reactor.core.publisher.FluxSink
import java.util.concurrent.Executor

/**
 * The body of a streamed answer, over one or more attempts. Demand of the caller passes to the current attempt chunk by
 * chunk. All methods run on [loop], the event loop of the caller's connection.
 */
internal class StreamRelay(
    private val loop: Executor,
) {
    private val early = ArrayDeque<ByteArray>()
    private var sink: FluxSink<ByteArray>? = null
    private var source: ((Long) -> Unit)? = null
    private var asked = 0L
    private var ended = false
    private var failure: StreamBroken? = null

    /** Bytes handed to the caller's connection, over all attempts. */
    var bytes = 0L
        private set

    val body: Flux<ByteArray> =
        Flux.create { created ->
            created.onRequest { loop.execute(::pull) }
            loop.execute { attach(created) }
        }

    /** Takes chunks from a new attempt. [request] asks it for that many more. */
    fun connect(request: (Long) -> Unit) {
        source = request
        asked = 0
        pull()
    }

    fun disconnect() {
        source = null
    }

    /** Passes on what [received] chunks of the attempt contained. */
    fun next(
        chunk: ByteArray,
        received: Long = 1,
    ) {
        asked = (asked - received).coerceAtLeast(0)
        if (chunk.isNotEmpty()) emit(chunk)
        pull()
    }

    fun complete(last: ByteArray) {
        if (ended) return
        if (last.isNotEmpty()) emit(last)
        ended = true
        sink?.complete()
    }

    /** Ends the stream so that it does not look complete: its connection is closed before the end of the body. */
    fun abort(reason: String) {
        if (ended) return
        ended = true
        val broken = StreamBroken(reason)
        failure = broken
        sink?.error(broken)
    }

    private fun emit(chunk: ByteArray) {
        bytes += chunk.size
        val target = sink
        if (target == null) early.addLast(chunk) else target.next(chunk)
    }

    private fun attach(created: FluxSink<ByteArray>) {
        sink = created
        early.forEach { created.next(it) }
        early.clear()
        val broken = failure
        when {
            broken != null -> created.error(broken)
            ended -> created.complete()
            else -> pull()
        }
    }

    private fun pull() {
        val wanted = (sink?.requestedFromDownstream() ?: return) - asked
        val request = source ?: return
        if (wanted <= 0) return
        asked += wanted
        request(wanted)
    }
}

/** Closes the connection of a caller whose stream cannot go on. It carries no stack trace, because it is no fault of the entry. */
internal class StreamBroken(
    reason: String,
) : RuntimeException(reason, null, false, false)
