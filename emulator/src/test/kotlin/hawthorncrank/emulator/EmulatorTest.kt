package hawthorncrank.emulator

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.unwrap
import hawthorncrank.common.EventLog
import hawthorncrank.common.Milliseconds
import hawthorncrank.common.SettingsFailure
import hawthorncrank.common.decodeSettings
import hawthorncrank.common.systemClock
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFails
import kotlin.test.assertIs

class EmulatorTest {
    private val engine =
        EngineSettings(
            "engine",
            "127.0.0.1:0",
            listOf("m"),
            tokenInterval = Milliseconds(1),
            resumesStreams = true,
            checksFencing = true,
        )
    private val emulator =
        start(
            EmulatorSettings(
                engines = listOf(engine),
                services = listOf(ServiceSettings("orders", "127.0.0.1:0", Milliseconds(1))),
                platforms = listOf(PlatformSettings("platform", "127.0.0.1:0", listOf("a"), lag = Milliseconds(0))),
            ),
        )

    @AfterTest
    fun stop() = emulator.close()

    @Test
    fun `streamed and unstreamed answers have equal text and streams repeat byte for byte`() {
        val first = post("engine", "/v1/chat/completions", chat("knots [length=5]", stream = true))
        val second = post("engine", "/v1/chat/completions", chat("knots [length=5]", stream = true))
        val whole = post("engine", "/v1/chat/completions", chat("knots [length=5]", stream = false))
        assertEquals(first.body, second.body)
        assertContains(first.body, "data: [DONE]")
        assertContains(whole.body, contents(first.body))
        assertContains(whole.body, "\"completion_tokens\":5")
    }

    @Test
    fun `a stream resumes at the requested byte offset`() {
        val first = post("engine", "/v1/chat/completions", chat("knots [length=200]", stream = true), readOnly = 300)
        val token = first.headers["hawthorncrank-resume-token"]
        val rest = chat("knots [length=200]", stream = true, more = ""","resume_token":"$token","resume_offset":100""")
        val resumed = post("engine", "/v1/chat/completions", rest)
        val whole = post("engine", "/v1/chat/completions", chat("knots [length=200]", stream = true))
        assertEquals(whole.body.drop(100), resumed.body)
    }

    @Test
    fun `a crashed engine refuses connections and later accepts them again`() {
        post("engine", "/admin/faults", """{"crash": true, "refuse_for_milliseconds": 300}""")
        awaitTrue { runCatching { get("engine", "/load") }.isFailure }
        awaitTrue { runCatching { get("engine", "/load") }.isSuccess }
    }

    @Test
    fun `a marker in the prompt crashes the engine without an answer`() {
        post("engine", "/admin/faults", """{"crash_marker": "BOOM"}""")
        assertFails { post("engine", "/v1/chat/completions", chat("BOOM", stream = false)) }
    }

    @Test
    fun `orders check fencing number, version, expiry and name`() {
        val order = """{"order":"load_model","value":"n","expected_version":1,"fencing_term":3,"fencing_index":9}"""
        assertContains(post("engine", "/admin/orders", order).body, "\"version\":2")
        assertEquals(409, post("engine", "/admin/orders", order).status)
        val fenced = """{"order":"load_model","value":"o","expected_version":2,"fencing_term":2,"fencing_index":99}"""
        assertContains(post("engine", "/admin/orders", fenced).body, "older")
        val expired = """{"order":"load_model","value":"n","expires_at":1,"fencing_term":4}"""
        assertContains(post("engine", "/admin/orders", expired).body, "expired")
        assertEquals(400, post("engine", "/admin/orders", """{"order":"dance","value":"","fencing_term":4}""").status)
    }

    @Test
    fun `the service counts every run by key`() {
        repeat(2) { post("orders", "/orders", "{}", "Idempotency-Key: k1") }
        post("orders", "/orders", "{}")
        get("orders", "/catalogue")
        assertEquals("""{"by_key":{"k1":2},"without_key":1,"lookups":1}""", get("orders", "/admin/runs").body)
    }

    @Test
    fun `the platform's membership list shows a change`() {
        assertEquals("""{"live":["a"],"leaving":[]}""", get("platform", "/members").body)
        post("platform", "/admin/members", """{"live":["b"],"leaving":["a"]}""")
        assertEquals("""{"live":["b"],"leaving":["a"]}""", get("platform", "/members").body)
    }

    /** Malformed requests must get an error status and must not stop the stand-in from answering later requests. */
    @Test
    fun `malformed requests get an error and later requests still succeed`() {
        assertEquals(400, post("engine", "/v1/chat/completions", "{").status)
        assertEquals(400, post("engine", "/admin/faults", """{"unknown": 1}""").status)
        assertEquals(404, post("engine", "/v1/chat/completions", chat("x", stream = false, model = "none")).status)
        assertEquals(200, post("engine", "/v1/chat/completions", chat("x [length=1]", stream = false)).status)
    }

    @Test
    fun `a port in use is reported`() {
        val taken = EngineSettings("second", "127.0.0.1:${emulator.port("engine")}", listOf("m"))
        val result = startEmulator(EmulatorSettings(listOf(taken)), "file.toml", systemClock(), SILENT)
        assertIs<SettingsFailure.PortInUse>(result.getError())
    }

    /** An error about a wrong unit must name the settings key, or the user cannot find the value. */
    @Test
    fun `a wrong unit is reported with its key and remedy`() {
        val text = "[[platforms]]\nname = \"p\"\naddress = \"127.0.0.1:0\"\nlag = \"3 parsec\""
        val failure = decodeSettings("f.toml", text, EmulatorSettings.serializer()).getError()
        assertEquals("lag", assertIs<SettingsFailure.InvalidValue>(failure).key)
        assertContains(failure.message, "write a number and one of the units")
    }

    private fun start(settings: EmulatorSettings) = startEmulator(settings, "test", systemClock(), SILENT).unwrap()

    private fun get(
        name: String,
        path: String,
    ) = exchange(emulator.port(name), "GET", path)

    private fun post(
        name: String,
        path: String,
        body: String,
        header: String? = null,
        readOnly: Int = Int.MAX_VALUE,
    ) = exchange(emulator.port(name), "POST", path, body, header, readOnly)

    private companion object {
        val SILENT = EventLog { _, _ -> }
    }
}
