package hawthorncrank.emulator

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/** Sends one request; with [readOnly] the client closes the connection after that many bytes of the answer. */
fun exchange(
    port: Int,
    method: String,
    path: String,
    body: String = "",
    header: String? = null,
    readOnly: Int = Int.MAX_VALUE,
): Answer {
    val request =
        HttpRequest
            .newBuilder(URI("http://127.0.0.1:$port$path"))
            .timeout(Duration.ofSeconds(10))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
    header?.let { request.header(it.substringBefore(": "), it.substringAfter(": ")) }
    val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    val response = client.send(request.build(), HttpResponse.BodyHandlers.ofInputStream())
    val text = response.body().use { it.readNBytes(readOnly).decodeToString() }
    return Answer(response.statusCode(), response.headers().map().mapValues { it.value.first() }, text)
}

fun chat(
    prompt: String,
    stream: Boolean,
    model: String = "m",
    more: String = "",
) = """{"model":"$model","stream":$stream,"messages":[{"role":"user","content":"$prompt"}]$more}"""

fun contents(stream: String): String =
    Regex(""""content":"([^"]*)"""").findAll(stream).joinToString("") { it.groupValues[1] }

/** Polls without pause until [condition] holds, for at most ten seconds. */
fun awaitTrue(condition: () -> Boolean) {
    val end = System.nanoTime() + Duration.ofSeconds(10).toNanos()
    while (!condition()) check(System.nanoTime() < end) { "the condition did not hold within 10 s" }
}
