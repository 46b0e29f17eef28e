package hawthorncrank.endtoend

import com.github.michaelbull.result.getOrElse
import hawthorncrank.common.Milliseconds
import hawthorncrank.common.eventLog
import hawthorncrank.common.systemClock
import hawthorncrank.emulator.EmulatorSettings
import hawthorncrank.emulator.EngineSettings
import hawthorncrank.emulator.startEmulator
import java.net.URI
import java.net.http.HttpRequest
import java.util.Collections
import java.util.IdentityHashMap

/** An engine stand-in outside every fleet. The scenarios compare the answers of the fleet with its answers. */
object ReferenceEngine {
    private const val NAME = "reference"
    private val engine =
        EngineSettings(
            name = NAME,
            address = "127.0.0.1:0",
            models = listOf("tangle-assistant", "aisle-lettering"),
            slots = 1_000,
            tokenInterval = Milliseconds(1),
            batchGrowth = 0.0,
        )
    private val emulator by lazy {
        startEmulator(EmulatorSettings(engines = listOf(engine)), "reference", systemClock(), eventLog("reference"))
            .getOrElse { error(it.message) }
    }

    /** Keyed by identity, because HTTP requests with different bodies can be equal. */
    private val answers = Collections.synchronizedMap(IdentityHashMap<HttpRequest, String>())

    fun answer(request: HttpRequest): String =
        answers.getOrPut(request) {
            val address = URI("http://127.0.0.1:${emulator.port(NAME)}/v1/chat/completions")
            val direct = HttpRequest.newBuilder(address).POST(request.bodyPublisher().get()).build()
            Call.send(direct).await().body
        }
}
