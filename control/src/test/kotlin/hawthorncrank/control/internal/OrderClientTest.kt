package hawthorncrank.control.internal

import hawthorncrank.control.FencingNumber
import hawthorncrank.protocol.EngineOrder
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import reactor.core.publisher.Mono
import reactor.netty.DisposableServer
import reactor.netty.http.server.HttpServer
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertIs

class OrderClientTest {
    private val bodies = ArrayList<String>()

    @Test
    fun `an order carries fencing number, expected version and expiry`() {
        assertEquals(OrderAnswer.CarriedOut, post(EngineOrder.LoadModel("m"), status = 200))
        val fields = Json.parseToJsonElement(bodies.single()).jsonObject.mapValues { it.value.jsonPrimitive.content }
        val expected =
            mapOf(
                "order" to "load_model",
                "value" to "m",
                "fencing_term" to "3",
                "fencing_index" to "14",
                "expected_version" to "7",
                "expires_at" to "1900",
            )
        assertEquals(expected, fields)
    }

    @Test
    fun `a refusal is reported with its cause, and an error of the engine counts as unreachable`() {
        val refused = post(EngineOrder.ChangeRole("spare"), status = 409)
        assertContains(assertIs<OrderAnswer.Refused>(refused).detail, "the cause")
        assertIs<OrderAnswer.Unreachable>(post(EngineOrder.UnloadModel("m"), status = 500))
    }

    @Test
    fun `nothing is posted without recent contact with a majority`() {
        assertIs<OrderAnswer.Unreachable>(post(EngineOrder.LoadModel("m"), status = 200, expiry = null))
        assertEquals(emptyList(), bodies)
    }

    private fun post(
        order: EngineOrder,
        status: Int,
        expiry: Long? = 1_900,
    ): OrderAnswer {
        val server = engine(status)
        try {
            val answer = CompletableFuture<ControlEvent>()
            val address = "127.0.0.1:${server.port()}"
            val client = OrderClient({ term -> expiry.takeIf { term == 3L } }, answer::complete)
            client.post(ControlEffect.PostOrder("engine1", address, order, FencingNumber(3, 14)))
            return (answer.get(10, TimeUnit.SECONDS) as ControlEvent.OrderAnswered).answer
        } finally {
            server.disposeNow()
        }
    }

    private fun engine(status: Int): DisposableServer =
        HttpServer
            .create()
            .host("127.0.0.1")
            .port(0)
            .route { routes ->
                routes.get("/admin/state") { _, response -> response.sendString(Mono.just("{\"version\":7}")) }
                routes.post("/admin/orders") { request, response ->
                    val received =
                        request
                            .receive()
                            .aggregate()
                            .asString()
                            .doOnNext { bodies += it }
                    received.flatMap { response.status(status).sendString(Mono.just("the cause")).then() }
                }
            }.bindNow()
}
