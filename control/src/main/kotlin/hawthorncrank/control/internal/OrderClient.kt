package hawthorncrank.control.internal

import hawthorncrank.common.joinBounded
import hawthorncrank.common.parseBounded
import hawthorncrank.protocol.EngineOrder
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import reactor.core.publisher.Mono
import reactor.netty.ByteBufFlux
import reactor.netty.ByteBufMono
import reactor.netty.http.client.HttpClient
import java.time.Duration

/**
 * Sends orders to engines. It reads the engine's version and posts the order bound to that version, so that an order
 * that arrives late or twice finds another version and is refused. [expiry] returns the wall time at which an order of
 * a term expires if it is posted now, or null when it may not be posted. It is called after the version is read,
 * because a slow response would use up the order's short lifetime.
 */
internal class OrderClient(
    private val expiry: (Long) -> Long?,
    private val send: (ControlEvent) -> Unit,
) {
    private val client =
        HttpClient
            .create()
            .responseTimeout(Duration.ofMillis(RESPONSE_MILLISECONDS))
            .headers { it.set("Content-Type", "application/json") }

    fun post(effect: ControlEffect.PostOrder) {
        val address = "http://${effect.address}"
        client
            .get()
            .uri("$address/admin/state")
            .response { response, body -> body.text().map { version(response.status().code(), it) } }
            .singleOrEmpty()
            .flatMap { version -> postOn(address, effect, version) }
            .timeout(Duration.ofMillis(ORDER_MILLISECONDS))
            .onErrorResume { Mono.just(OrderAnswer.Unreachable(it.message ?: it.javaClass.simpleName)) }
            .subscribe { send(ControlEvent.OrderAnswered(effect.upstream, effect.fencing, it)) }
    }

    private fun version(
        status: Int,
        body: String,
    ): Long {
        check(status == HTTP_OK) { "the engine answered its state with status $status" }
        return Json
            .parseBounded(body)
            .jsonObject
            .getValue("version")
            .jsonPrimitive.long
    }

    private fun postOn(
        address: String,
        effect: ControlEffect.PostOrder,
        version: Long,
    ): Mono<OrderAnswer> {
        val expiresAt =
            expiry(effect.fencing.term) ?: return Mono.just(OrderAnswer.Unreachable("no majority in contact"))
        return client
            .post()
            .uri("$address/admin/orders")
            .send(ByteBufMono.fromString(Mono.just(json(effect, version, expiresAt))))
            .response { response, body ->
                body.text().map { text ->
                    val status = response.status().code()
                    when {
                        status == HTTP_OK -> OrderAnswer.CarriedOut
                        status in CLIENT_ERRORS ->
                            OrderAnswer.Refused(
                                "status $status: ${text.take(DETAIL_CHARACTERS)}",
                            )
                        else -> OrderAnswer.Unreachable("status $status")
                    }
                }
            }.singleOrEmpty()
    }

    private fun json(
        effect: ControlEffect.PostOrder,
        version: Long,
        expiresAt: Long,
    ): String {
        val (order, value) =
            when (val order = effect.order) {
                is EngineOrder.LoadModel -> "load_model" to order.model
                is EngineOrder.UnloadModel -> "unload_model" to order.model
                is EngineOrder.ChangeRole -> "change_role" to order.role
            }
        return buildJsonObject {
            put("order", order)
            put("value", value)
            put("fencing_term", effect.fencing.term)
            put("fencing_index", effect.fencing.index)
            put("expected_version", version)
            put("expires_at", expiresAt)
        }.toString()
    }

    private fun ByteBufFlux.text(): Mono<String> =
        asByteArray().joinBounded(MAXIMUM_ANSWER_BYTES).map { it.decodeToString() }

    private companion object {
        const val RESPONSE_MILLISECONDS = 1_000L
        const val ORDER_MILLISECONDS = 3_000L
        const val HTTP_OK = 200
        const val DETAIL_CHARACTERS = 200
        const val MAXIMUM_ANSWER_BYTES = 1 shl 20
        val CLIENT_ERRORS = 400..499
    }
}
