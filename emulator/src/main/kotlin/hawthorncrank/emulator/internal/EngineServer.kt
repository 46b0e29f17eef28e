package hawthorncrank.emulator.internal

import com.github.michaelbull.result.fold
import hawthorncrank.common.EventLog
import hawthorncrank.common.MillisecondClock
import hawthorncrank.emulator.EngineSettings
import hawthorncrank.emulator.StandIn
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.put
import org.reactivestreams.Publisher
import reactor.core.publisher.Mono
import reactor.core.scheduler.Schedulers
import reactor.netty.http.server.HttpServerRequest
import reactor.netty.http.server.HttpServerResponse
import java.time.Duration

/** The HTTP server of an engine stand-in. */
internal class EngineServer(
    private val settings: EngineSettings,
    clock: MillisecondClock,
    private val log: EventLog,
) : StandIn {
    private val engine = Engine(settings, clock, log)
    private val server = StandInServer(hostOf(settings.address), portOf(settings.address), ::handle)

    @Volatile private var refusesWork = false
    override val name = settings.name
    override val port = server.port

    override fun close() {
        server.close()
        engine.close()
    }

    private fun handle(
        request: HttpServerRequest,
        response: HttpServerResponse,
    ): Publisher<Void> {
        val path = request.path().trim('/')
        if (!path.startsWith("admin") && (engine.silent || server.isSilenced(request))) return Mono.never()
        return when ("${request.method()} $path") {
            "POST v1/chat/completions" -> request.readBody().flatMapMany { complete(it, request, response) }
            "GET load" -> whenComplete(engine.loadReport()) { response.answer(HTTP_OK, json.encodeToJsonElement(it)) }
            "GET cache-events" -> cacheEvents(request, response)
            "GET admin/state" -> whenComplete(engine.state()) { response.answer(HTTP_OK, json.encodeToJsonElement(it)) }
            "POST admin/orders" -> request.decodeBody<EngineOrder>(response) { order(it, response) }
            "POST admin/faults" -> request.decodeBody<EngineFaults>(response) { setFaults(it, response) }
            else -> response.refuse(HTTP_NOT_FOUND, "no such path")
        }
    }

    private fun complete(
        body: ByteArray,
        request: HttpServerRequest,
        response: HttpServerResponse,
    ): Publisher<Void> {
        if (refusesWork) return response.header("Retry-After", "1").refuse(HTTP_UNAVAILABLE, "the engine is full")
        return parseCompletionRequest(body).fold(
            success = { completion ->
                val marker = engine.crashMarker
                if (marker.isNotEmpty() && marker in completion.prompt) {
                    crash(settings.refuseAfterCrash.value)
                    Mono.never()
                } else {
                    CompletionResponse(engine, completion, response) { server.isSilenced(request) }.publisher()
                }
            },
            failure = { response.refuse(HTTP_BAD_REQUEST, it) },
        )
    }

    private fun cacheEvents(
        request: HttpServerRequest,
        response: HttpServerResponse,
    ): Publisher<Void> {
        val after = queryParameter(request.uri(), "after")?.toLongOrNull() ?: 0
        return whenComplete(engine.cacheEvents(after)) { events ->
            val list =
                events.map { event ->
                    buildJsonObject {
                        put("sequence", event.sequence)
                        put("stored", digests(event.stored))
                        put("evicted", digests(event.evicted))
                    }
                }
            response.answer(HTTP_OK, buildJsonObject { put("events", JsonArray(list)) })
        }
    }

    private fun order(
        order: EngineOrder,
        response: HttpServerResponse,
    ): Publisher<Void> =
        whenComplete(engine.order(order)) { result ->
            when (result) {
                is OrderResult.Applied -> response.answer(HTTP_OK, json.encodeToJsonElement(result.state))
                is OrderResult.Refused -> response.refuse(HTTP_CONFLICT, result.problem)
                is OrderResult.Unknown -> response.refuse(HTTP_BAD_REQUEST, "unknown order: ${result.order}")
            }
        }

    private fun setFaults(
        faults: EngineFaults,
        response: HttpServerResponse,
    ): Publisher<Void> {
        log.record(EmulatorEvent.FAULT_SET, "engine" to name, "faults" to faults)
        faults.slowFactor?.let { engine.slowFactor = it }
        faults.silent?.let { engine.silent = it }
        faults.crashMarker?.let { engine.crashMarker = it }
        faults.refuseWork?.let { refusesWork = it }
        if (faults.silenceConnections) server.silenceConnections()
        val answered = response.answer(HTTP_OK, buildJsonObject { put("accepted", true) })
        return Mono.from(answered).doFinally {
            if (faults.dropConnections) server.dropConnections()
            if (faults.crash) crash(faults.refuseForMilliseconds ?: settings.refuseAfterCrash.value)
        }
    }

    private fun crash(refuseForMilliseconds: Long) {
        engine.crash()
        Schedulers.boundedElastic().schedule { server.stopListening() }
        Mono
            .delay(Duration.ofMillis(refuseForMilliseconds), Schedulers.boundedElastic())
            .subscribe { server.listenAgain() }
    }

    private fun digests(values: List<Long>) = JsonArray(values.map { JsonPrimitive("%016x".format(it)) })
}
