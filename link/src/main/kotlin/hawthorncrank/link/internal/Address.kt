package hawthorncrank.link.internal

import io.ktor.network.sockets.InetSocketAddress

/** Parses `IP:PORT`; returns null if [text] has another form. */
internal fun parseAddress(text: String): InetSocketAddress? {
    val host = text.substringBeforeLast(':', missingDelimiterValue = "").removeSurrounding("[", "]")
    val port = text.substringAfterLast(':').toIntOrNull() ?: return null
    if (host.isEmpty() || port !in 0..MAXIMUM_PORT) return null
    return InetSocketAddress(host, port)
}

private const val MAXIMUM_PORT = 65_535
