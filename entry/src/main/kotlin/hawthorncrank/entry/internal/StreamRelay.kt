package hawthorncrank.entry.internal

import reactor.core.publisher.Flux
import reactor.core.publisher.FluxSink
import java.util.concurrent.Executor

/**
 * The body of a streamed answer, fed by one or more attempts in turn. The current attempt is asked for as many
 * chunks as the caller's connection requests. All methods run on [loop], the event loop of the caller's connection.
 */
internal class StreamRelay(
    private val loop: Executor,
) {
    private val buffered = ArrayDeque<ByteArray>()
    private var sink: FluxSink<ByteArray>? = null
    private var source: ((Long) -> Unit)? = null
    private var requested = 0L
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

    /** Makes a new attempt the source of chunks. [request] requests the given number of further chunks from it. */
    fun connect(request: (Long) -> Unit) {
        source = request
        requested = 0
        pull()
    }

    fun disconnect() {
        source = null
    }

    /** Sends the content of [received] chunks of the attempt to the caller. */
    fun next(
        chunk: ByteArray,
        received: Long = 1,
    ) {
        requested = (requested - received).coerceAtLeast(0)
        if (chunk.isNotEmpty()) emit(chunk)
        pull()
    }

    fun complete(last: ByteArray) {
        if (ended) return
        if (last.isNotEmpty()) emit(last)
        ended = true
        sink?.complete()
    }

    /** Closes the connection before the end of the body, so that the stream does not look complete to the caller. */
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
        if (target == null) buffered.addLast(chunk) else target.next(chunk)
    }

    private fun attach(created: FluxSink<ByteArray>) {
        sink = created
        buffered.forEach { created.next(it) }
        buffered.clear()
        val broken = failure
        when {
            broken != null -> created.error(broken)
            ended -> created.complete()
            else -> pull()
        }
    }

    private fun pull() {
        val wanted = (sink?.requestedFromDownstream() ?: return) - requested
        val request = source ?: return
        if (wanted <= 0) return
        requested += wanted
        request(wanted)
    }
}

/** Closes the connection of a caller whose stream cannot continue. Not a fault of the entry, hence no stack trace. */
internal class StreamBroken(
    reason: String,
) : RuntimeException(reason, null, false, false)
