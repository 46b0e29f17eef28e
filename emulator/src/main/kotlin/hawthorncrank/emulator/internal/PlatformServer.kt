package hawthorncrank.emulator.internal

import hawthorncrank.common.MillisecondClock
import hawthorncrank.emulator.PlatformSettings
import hawthorncrank.emulator.StandIn
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.put
import org.reactivestreams.Publisher
import reactor.netty.http.server.HttpServerRequest
import reactor.netty.http.server.HttpServerResponse
import java.util.concurrent.atomic.AtomicReference

/**
 * The platform's membership list. POST /admin/members replaces it; GET /members returns the change once the configured
 * lag has passed.
 */
internal class PlatformServer(
    private val settings: PlatformSettings,
    private val clock: MillisecondClock,
) : StandIn {
    private val history = AtomicReference(listOf(Long.MIN_VALUE to Members(settings.live, settings.leaving)))
    private val server = StandInServer(hostOf(settings.address), portOf(settings.address), ::handle)
    override val name = settings.name
    override val port = server.port

    override fun close() = server.close()

    private fun handle(
        request: HttpServerRequest,
        response: HttpServerResponse,
    ): Publisher<Void> =
        when ("${request.method()} ${request.path().trim('/')}") {
            "GET members" -> response.answer(HTTP_OK, json.encodeToJsonElement(visibleMembers()))
            "POST admin/members" ->
                request.decodeBody<Members>(response) { members ->
                    history.updateAndGet { it.takeLast(MAXIMUM_RETAINED_CHANGES) + (clock.now() to members) }
                    response.answer(HTTP_OK, buildJsonObject { put("accepted", true) })
                }
            else -> response.refuse(HTTP_NOT_FOUND, "no such path")
        }

    private fun visibleMembers(): Members {
        val newestVisibleTime = clock.now() - settings.lag.value
        return history.get().let { all -> all.lastOrNull { it.first <= newestVisibleTime } ?: all.first() }.second
    }

    private companion object {
        const val MAXIMUM_RETAINED_CHANGES = 1_000
    }
}

@Serializable
internal data class Members(
    val live: List<String>,
    val leaving: List<String>,
)
