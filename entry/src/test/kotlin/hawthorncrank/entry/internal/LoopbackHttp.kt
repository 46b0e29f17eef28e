package hawthorncrank.entry.internal

import java.net.Socket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

internal fun exchange(
    port: Int,
    method: String,
    path: String,
    body: String = "",
    headers: List<String> = emptyList(),
): HttpAnswer {
    val request =
        HttpRequest
            .newBuilder(URI("http://127.0.0.1:$port$path"))
            .timeout(Duration.ofSeconds(CALL_LIMIT_SECONDS))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
    headers.forEach { request.header(it.substringBefore(": "), it.substringAfter(": ")) }
    val response = HTTP.send(request.build(), HttpResponse.BodyHandlers.ofString())
    return HttpAnswer(response.statusCode(), response.headers().map().mapValues { it.value.first() }, response.body())
}

/** Sends [text] as raw bytes and returns everything that arrives until the peer closes the connection. */
internal fun rawExchange(
    port: Int,
    text: String,
): String =
    Socket("127.0.0.1", port).use { socket ->
        socket.soTimeout = 10_000
        socket.getOutputStream().write(text.toByteArray())
        socket.getOutputStream().flush()
        socket.getInputStream().readAllBytes().decodeToString()
    }

private val HTTP = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

/** Ends calls that hang. On a loaded machine, a stream of a few seconds can take several times as long. */
private const val CALL_LIMIT_SECONDS = 60L
