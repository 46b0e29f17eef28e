package hawthorncrank.emulator.internal

import io.netty.handler.codec.http.QueryStringDecoder
import org.reactivestreams.Publisher
import reactor.core.publisher.Mono
import java.util.concurrent.CompletableFuture

/** Passes the result to [use] once it is available, without blocking a thread of the server. */
internal fun <T : Any> whenComplete(
    result: CompletableFuture<T>,
    use: (T) -> Publisher<Void>,
): Publisher<Void> = Mono.fromFuture(result).flatMapMany(use)

internal fun queryParameter(
    uri: String,
    name: String,
): String? = QueryStringDecoder(uri).parameters()[name]?.firstOrNull()

internal fun hostOf(address: String): String = address.substringBeforeLast(':')

internal fun portOf(address: String): Int = address.substringAfterLast(':').toInt()
