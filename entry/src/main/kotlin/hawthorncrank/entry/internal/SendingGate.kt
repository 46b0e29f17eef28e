package hawthorncrank.entry.internal

import reactor.core.publisher.Mono

/**
 * Decides at the last moment whether an attempt is sent, once its connection is open. [settled] completes when the process
 * has read what its caller may have sent meanwhile. [begin] is called right before the first byte leaves. It returns the
 * milliseconds that are left to the caller's deadline, null if it has none, and throws [SendingPointless] if nothing may be
 * sent any more.
 */
internal class SendingGate(
    val settled: Mono<Void>,
    val begin: () -> Long?,
)
