package hawthorncrank.emulator.internal

import io.netty.handler.codec.http.QueryStringDecoder
import org.reactivestreams.Publisher
import reactor.core.publisher.Mono
import java.util.concurrent.CompletableFuture

/** Continues an exchange when a stand-in's thread has answered. */
internal fun <T : Any> later(
    answer: CompletableFuture<T>,
    use: (T) -> Publisher<Void>,
): Publisher<Void> = Mono.fromFuture(answer).flatMapMany(use)

internal fun queryParameter(
    uri: String,
    name: String,
): String? = QueryStringDecoder(uri).parameters()[name]?.firstOrNull()

internal fun hostOf(address: String): String = address.substringBeforeLast(':')

internal fun portOf(address: String): Int = address.substringAfterLast(':').toInt()
