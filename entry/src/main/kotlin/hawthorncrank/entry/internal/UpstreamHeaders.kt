package hawthorncrank.entry.internal

import hawthorncrank.common.decodeBounded
import hawthorncrank.entry.core.LoadReport
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Headers of an upstream's answer that are forwarded to the caller. */
internal fun forwardedHeaders(headers: HttpHeaders): List<Pair<String, String>> =
    headers.entries().filterNot { (name, _) -> withheld(name) }.map { it.key to it.value }

/** Headers of a caller's request that are forwarded to an upstream. The Authorization header is never forwarded. */
internal fun outgoingHeaders(headers: HttpHeaders): List<Pair<String, String>> =
    headers
        .entries()
        .filterNot { (name, _) -> withheld(name) || name.lowercase() in CALLER_ONLY }
        .map { it.key to it.value }

/** What marks the end of the body of an answer with these headers. */
internal fun bodyDelimiter(headers: HttpHeaders): BodyDelimiter =
    when {
        headers.contains(HttpHeaderNames.TRANSFER_ENCODING) -> BodyDelimiter.CHUNKS
        headers.contains(HttpHeaderNames.CONTENT_LENGTH) -> BodyDelimiter.LENGTH
        else -> BodyDelimiter.CONNECTION
    }

/** Parses an engine's load report; returns null when it is absent, malformed or out of range. */
internal fun parseLoad(text: String?): LoadReport? =
    try {
        text?.let { lenient.decodeBounded<ReportedLoad>(it) }?.let {
            LoadReport(it.sequence, it.running, it.queued, it.slots, it.tokenInterval)
        }
    } catch (_: IllegalArgumentException) {
        null
    }

internal val JSON_HEADERS: HttpHeaders = DefaultHttpHeaders().add(CONTENT_TYPE, "application/json")

internal val lenient = Json { ignoreUnknownKeys = true }

private fun withheld(name: String): Boolean {
    val lowercase = name.lowercase()
    return lowercase in CONNECTION_HEADERS || lowercase.startsWith("hawthorncrank-")
}

@Serializable
private data class ReportedLoad(
    val sequence: Long,
    val running: Int,
    val queued: Int,
    val slots: Int,
    @SerialName("token_interval")
    val tokenInterval: Double? = null,
) {
    init {
        require(running in 0..MAXIMUM_REQUESTS && queued in 0..MAXIMUM_REQUESTS) { "requests out of range" }
        require(slots in 0..MAXIMUM_REQUESTS) { "slots out of range" }
        require(tokenInterval == null || tokenInterval >= 0) { "token interval out of range" }
    }
}

// Far above what an engine holds, and sums over a fleet of engines do not overflow.
private const val MAXIMUM_REQUESTS = 1_000_000

private val CONNECTION_HEADERS =
    setOf(
        "connection",
        "content-length",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
private val CALLER_ONLY = setOf("authorization", "host", "expect")
