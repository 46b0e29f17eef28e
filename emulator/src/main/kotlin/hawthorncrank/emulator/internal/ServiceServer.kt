package hawthorncrank.emulator.internal

import hawthorncrank.emulator.ServiceSettings
import hawthorncrank.emulator.StandIn
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import org.reactivestreams.Publisher
import reactor.core.publisher.Mono
import reactor.netty.http.server.HttpServerRequest
import reactor.netty.http.server.HttpServerResponse
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/**
 * A plain service that runs every call it receives, even if its idempotency key repeats, and counts the runs by key, so
 * that tests can detect duplicates. GET requests are lookups and are counted separately. A run is counted once the
 * whole request body has arrived, and continues if the caller disconnects.
 */
internal class ServiceServer(
    private val settings: ServiceSettings,
) : StandIn {
    private val runsByKey = ConcurrentHashMap<String, AtomicLong>()
    private val runsWithoutKey = AtomicLong()
    private val lookups = AtomicLong()

    @Volatile private var faults = ServiceFaults()
    private val server = StandInServer(hostOf(settings.address), portOf(settings.address), ::handle)
    override val name = settings.name
    override val port = server.port

    override fun close() = server.close()

    private fun handle(
        request: HttpServerRequest,
        response: HttpServerResponse,
    ): Publisher<Void> {
        val path = request.path().trim('/')
        return when ("${request.method()} $path") {
            "GET admin/runs" -> response.answer(HTTP_OK, runs())
            "POST admin/faults" ->
                request.decodeBody<ServiceFaults>(response) {
                    faults = it
                    response.answer(HTTP_OK, buildJsonObject { put("accepted", true) })
                }
            else -> request.readBody().flatMapMany { run(request, response, it) }
        }
    }

    private fun run(
        request: HttpServerRequest,
        response: HttpServerResponse,
        body: ByteArray,
    ): Publisher<Void> {
        if (faults.refuseWork) {
            return response
                .header(
                    "Retry-After",
                    "1",
                ).refuse(HTTP_UNAVAILABLE, "the service is full")
        }
        val key = request.requestHeaders().get("Idempotency-Key")
        val lookup = request.method().name() == "GET"
        val count =
            when {
                lookup -> lookups.incrementAndGet()
                key == null -> runsWithoutKey.incrementAndGet()
                else -> runsByKey.computeIfAbsent(key) { AtomicLong() }.incrementAndGet()
            }
        if (faults.silent) return Mono.never()
        val answer =
            buildJsonObject {
                put("service", name)
                put("path", request.uri())
                if (!lookup) {
                    put("key", JsonPrimitive(key))
                    put("run", count)
                    put("received_bytes", body.size)
                }
            }
        val status = if (lookup) HTTP_OK else HTTP_CREATED
        return Mono.delay(Duration.ofMillis(settings.delay.value)).flatMapMany {
            if (faults.breakAfterRun) {
                request.withConnection { it.channel().close() }
                Mono.never()
            } else {
                response.answer(status, answer)
            }
        }
    }

    private fun runs() =
        buildJsonObject {
            putJsonObject("by_key") { runsByKey.forEach { (key, count) -> put(key, count.get()) } }
            put("without_key", runsWithoutKey.get())
            put("lookups", lookups.get())
        }

    private companion object {
        const val HTTP_CREATED = 201
    }
}

/**
 * The body of POST /admin/faults of a service. With [breakAfterRun], calls run and the connection
 * closes without an answer.
 */
@Serializable
internal data class ServiceFaults(
    @SerialName("break_after_run")
    val breakAfterRun: Boolean = false,
    val silent: Boolean = false,
    @SerialName("refuse_work")
    val refuseWork: Boolean = false,
)
