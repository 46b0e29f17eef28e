package hawthorncrank.common

import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import java.io.ByteArrayOutputStream
import java.io.IOException

/** Joins the parts of a body. As soon as they exceed [limit] bytes, it cancels the rest and fails. */
fun Flux<ByteArray>.joinBounded(limit: Int): Mono<ByteArray> =
    collect(::ByteArrayOutputStream) { joined, part ->
        if (part.size > limit - joined.size()) throw BodyTooLargeException(limit)
        joined.write(part)
    }.map { it.toByteArray() }

class BodyTooLargeException(
    limit: Int,
) : IOException("the body exceeds $limit bytes")
