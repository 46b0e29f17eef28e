package hawthorncrank.endtoend

import java.io.ByteArrayOutputStream
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.ByteBuffer
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CompletionStage
import java.util.concurrent.ExecutionException
import java.util.concurrent.Flow
import java.util.concurrent.TimeUnit

/** One request of a caller, the bytes received so far and its result. */
class Call private constructor(
    val request: HttpRequest,
) {
    private val received = ByteArrayOutputStream()
    private val firstBytes = CompletableFuture<Unit>()
    private var response: CompletableFuture<HttpResponse<Unit>> = CompletableFuture()

    fun awaitFirstBytes() {
        firstBytes.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
    }

    /** Waits for the call to end. A broken connection is returned as a result, not thrown. */
    fun await(): CallEnd =
        try {
            val ended = response.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
            val outcome = ended.headers().firstValue("Hawthorncrank-Outcome").orElse(null)
            CallEnd(ended.statusCode(), outcome, bytes(), connectionFailure = null)
        } catch (failure: ExecutionException) {
            CallEnd(status = null, outcome = null, body = bytes(), connectionFailure = failure.cause?.toString())
        }

    private fun bytes(): String = synchronized(received) { received.toString(Charsets.UTF_8) }

    private inner class Collector : HttpResponse.BodySubscriber<Unit> {
        private val ended = CompletableFuture<Unit>()

        override fun getBody(): CompletionStage<Unit> = ended

        override fun onSubscribe(subscription: Flow.Subscription) = subscription.request(Long.MAX_VALUE)

        override fun onNext(buffers: List<ByteBuffer>) {
            synchronized(received) {
                buffers.forEach { buffer -> ByteArray(buffer.remaining()).also(buffer::get).let(received::writeBytes) }
            }
            firstBytes.complete(Unit)
        }

        override fun onError(failure: Throwable) {
            firstBytes.complete(Unit)
            ended.completeExceptionally(failure)
        }

        override fun onComplete() {
            firstBytes.complete(Unit)
            ended.complete(Unit)
        }
    }

    companion object {
        private const val TIMEOUT_SECONDS = 90L
        private val client: HttpClient = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

        fun send(request: HttpRequest): Call {
            val call = Call(request)
            call.response = client.sendAsync(request) { call.Collector() }
            call.response.whenComplete { _, _ -> call.firstBytes.complete(Unit) }
            return call
        }

        /** A streamed model request. The [number] in the prompt makes the answers differ. */
        fun modelRequest(
            address: URI,
            organisation: String,
            model: String,
            className: String,
            number: Int,
            tokens: Int,
            marker: String = "",
        ): HttpRequest {
            val prompt = "request $number $marker[length=$tokens]"
            val body = """{"model":"$model","stream":true,"messages":[{"role":"user","content":"$prompt"}]}"""
            return HttpRequest
                .newBuilder(address.resolve("/v1/chat/completions"))
                .header("Authorization", "Bearer $organisation.sample-secret")
                .header("Content-Type", "application/json")
                .header("Hawthorncrank-Class", className)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build()
        }

        /** A non-idempotent request to a plain service. */
        fun serviceRequest(
            address: URI,
            organisation: String,
            path: String,
            key: String,
            content: String,
        ): HttpRequest =
            HttpRequest
                .newBuilder(address.resolve(path))
                .header("Authorization", "Bearer $organisation.sample-secret")
                .header("Idempotency-Key", key)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString("""{"content":"$content"}"""))
                .build()
    }
}

/** How a call ended. [status] is null when the connection broke before or during the answer. */
data class CallEnd(
    val status: Int?,
    val outcome: String?,
    val body: String,
    val connectionFailure: String?,
)
