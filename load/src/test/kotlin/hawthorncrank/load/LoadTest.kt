package hawthorncrank.load

import com.github.michaelbull.result.unwrap
import hawthorncrank.common.EventLog
import hawthorncrank.common.Milliseconds
import hawthorncrank.common.loadSettings
import hawthorncrank.common.systemClock
import hawthorncrank.emulator.EmulatorSettings
import hawthorncrank.emulator.EngineSettings
import hawthorncrank.emulator.ServiceSettings
import hawthorncrank.emulator.startEmulator
import reactor.core.publisher.Mono
import reactor.netty.http.server.HttpServer
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.readBytes
import kotlin.io.path.readText
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Runs the tool directly against stand-ins, which answer in the same format as an entry. */
class LoadTest {
    private val folder: Path = Files.createTempDirectory("load")
    private val lines = mutableListOf<String>()

    @Test
    fun `streamed and unstreamed answers of the stand-ins are complete`() {
        val outcome = runOnStandIns(listOf(ClassLoad("s", 50.0), ClassLoad("w", 50.0, streamed = false)))
        assertTrue(outcome.correct, outcome.table)
        assertFalse("wrong" in outcome.table || "interrupted" in outcome.table, outcome.table)
        assertContains(outcome.table, "whole")
        assertContains(folder.resolve("result.json").readText(), "\"firstToken\"")
        assertEquals("PNG", folder.resolve("latency.png").readBytes().decodeToString(1, 4))
        assertContains(lines.last(), "in flight 0")
    }

    @Test
    fun `service calls are checked and none runs more than once`() {
        val outcome =
            runOnStandIns(
                listOf(ClassLoad("b", 50.0, path = "/bookings"), ClassLoad("g", 50.0, path = "/x", method = "GET")),
            )
        assertTrue(outcome.correct, outcome.table)
        assertContains(outcome.table, "ran more than once: 0")
    }

    @Test
    fun `callers that disconnect as planned are counted separately`() {
        val leaving =
            ClassLoad(
                "s",
                20.0,
                outputTokens = 2_000,
                outputSpread = 0.0,
                leaveShare = 1.0,
                leaveAfter = Milliseconds(20),
            )
        assertContains(runOnStandIns(listOf(leaving)).table, "left")
    }

    /** The check must not accept the answer of another request, or a partial answer that ends like a complete one. */
    @Test
    fun `a wrong answer is detected`() {
        val server =
            HttpServer
                .create()
                .host("127.0.0.1")
                .port(0)
                .handle { request, response ->
                    request.receive().then().thenMany(response.sendString(Mono.just("data: [DONE]\n\n")))
                }.bindNow()
        val outcome = run("127.0.0.1:${server.port()}", emptyList(), listOf(ClassLoad("s", 20.0)))
        assertFalse(outcome.correct)
        assertContains(outcome.table, "wrong")
        server.disposeNow()
    }

    @Test
    fun `callers resend a refused request`() {
        val server =
            HttpServer
                .create()
                .host("127.0.0.1")
                .port(0)
                .handle { _, response -> response.status(503).send() }
                .bindNow()
        val outcome =
            run("127.0.0.1:${server.port()}", emptyList(), listOf(ClassLoad("s", 20.0, resendShare = 1.0, resends = 1)))
        assertContains(outcome.table, "refused")
        val sends = Regex(""""sends": (\d+)""").find(folder.resolve("result.json").readText())
        val requests = Regex(""""requests": (\d+)""").find(folder.resolve("result.json").readText())
        assertEquals(number(requests) * 2, number(sends))
        server.disposeNow()
    }

    @Test
    fun `the sample workloads can be loaded and are valid`() {
        listOf("dawn-of-the-fete.toml", "overnight-print-run.toml").forEach { name ->
            val workload = loadSettings(Path.of("..", "samples", name), Workload.serializer()).unwrap()
            assertNull(workload.firstFailure(name))
            assertNotNull(workload.bursts.firstOrNull())
            assertContains(workload.copy(entries = emptyList()).firstFailure(name)!!.message, "entries")
        }
    }

    private fun number(match: MatchResult?): Int = match!!.groupValues[1].toInt()

    private fun runOnStandIns(classes: List<ClassLoad>): LoadOutcome {
        val engine = EngineSettings("engine", "127.0.0.1:0", listOf("m"), tokenInterval = Milliseconds(1))
        val service = ServiceSettings("service", "127.0.0.1:0", Milliseconds(1))
        val settings = EmulatorSettings(engines = listOf(engine), services = listOf(service))
        return startEmulator(settings, "test", systemClock(), SILENT).unwrap().use { emulator ->
            val target = if (classes.any { it.path != null }) "service" else "engine"
            val address = "127.0.0.1:${emulator.port(target)}"
            run(address, listOf("127.0.0.1:${emulator.port("service")}"), classes)
        }
    }

    private fun run(
        address: String,
        services: List<String>,
        classes: List<ClassLoad>,
    ): LoadOutcome {
        val workload =
            Workload(
                name = "test",
                entries = listOf(address),
                model = "m",
                duration = Milliseconds(500),
                drainTime = Milliseconds(10_000),
                services = services,
                classes = classes,
                organisations = listOf(OrganisationLoad("crew", "crew.secret")),
            )
        return runLoad(workload, folder, SILENT) { lines += it }
    }

    private companion object {
        val SILENT = EventLog { _, _ -> }
    }
}
