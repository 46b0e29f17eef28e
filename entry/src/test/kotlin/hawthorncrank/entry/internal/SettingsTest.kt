package hawthorncrank.entry.internal

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.unwrap
import hawthorncrank.common.Milliseconds
import hawthorncrank.common.SettingsFailure
import hawthorncrank.common.decodeSettings
import hawthorncrank.common.loadSettings
import hawthorncrank.common.systemClock
import hawthorncrank.entry.EntryProgramSettings
import hawthorncrank.entry.internal.EntryFixture.Companion.SILENT
import hawthorncrank.entry.startEntry
import io.netty.handler.ssl.SslContextBuilder
import reactor.netty.http.client.HttpClient
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull

/** Guards against start-up errors that do not name the wrong key and its remedy. */
class SettingsTest {
    private val valid = EntryFixture.settings()

    @Test
    fun `the sample settings load`() {
        listOf("caroni", "signwright").flatMap { name -> (1..3).map { "$name/entry-$it.toml" } }.forEach { sample ->
            assertNull(loadSettings(Path.of("..", "samples", sample), EntryProgramSettings.serializer()).getError())
        }
    }

    /** Without it, a confirmation of the configuration would outlast the time until the entry must obey a new one. */
    @Test
    fun `the contact time is read with its unit`() {
        val sample = Path.of("..", "samples", "caroni", "entry-1.toml").readText()
        val settings = decodeSettings("f.toml", "contact_time = \"4 s\"\n$sample", EntryProgramSettings.serializer())
        assertEquals(Milliseconds(4_000), settings.unwrap().contactTime)
    }

    /** A value that is no boolean must not switch the warm-up on or off by chance. */
    @Test
    fun `the warm-up is off by default and takes only true and false`() {
        val sample = Path.of("..", "samples", "caroni", "entry-1.toml").readText()

        fun read(line: String) = decodeSettings("f.toml", "$line\n$sample", EntryProgramSettings.serializer())
        assertEquals(false, read("").unwrap().warmUp)
        assertEquals(true, read("warm_up = true").unwrap().warmUp)
        assertIs<SettingsFailure>(read("warm_up = \"often\"").getError())
    }

    @Test
    fun `an error names an unknown key`() {
        val failure = decodeSettings("f.toml", "nam = \"x\"", EntryProgramSettings.serializer()).getError()
        assertIs<SettingsFailure>(failure)
        assertContains(failure.message, "f.toml")
        assertContains(failure.message, "nam")
        assertEquals(1, failure.message.lines().size)
    }

    /** An overflow of the parser's stack or memory would end the thread that reads changed settings. */
    @Test
    fun `deeply nested settings are an error`() {
        listOf(
            "control = " + "[".repeat(100_000) + "]".repeat(100_000),
            "control = " + "{a = ".repeat(20_000) + "1" + "}".repeat(20_000),
            "[" + "a.".repeat(20_000) + "a]\nb = 1",
            "a.".repeat(20_000) + "a = 1",
            "\"a\" . ".repeat(20_000) + "a = 1",
        ).forEach { text ->
            val failure = decodeSettings("f.toml", text, EntryProgramSettings.serializer()).getError()
            assertContains(assertIs<SettingsFailure.MalformedFile>(failure).message, "nested", message = text.take(20))
        }
    }

    @Test
    fun `an error names the setting with an invalid value`() {
        mapOf(
            "http_address" to valid.copy(httpAddress = "8080"),
            "control" to valid.copy(control = listOf("127.0.0.1:99999")),
            "fleet_key" to valid.copy(fleetKey = ""),
            "tls_key" to valid.copy(tlsCertificate = "c.pem"),
            "tls_certificate" to valid.copy(tlsCertificate = "missing.pem", tlsKey = "missing.pem"),
        ).forEach { (key, settings) ->
            val failure = startEntry(settings, "f.toml", systemClock(), SILENT).getError()
            assertContains(assertIs<SettingsFailure.InvalidValue>(failure).message, "\"$key\"")
        }
    }

    @Test
    fun `a certificate and its key make the HTTP port a TLS port`() {
        val resources = Path.of("src", "test", "resources")
        val settings =
            valid.copy(
                tlsCertificate = resources.resolve("loopback-certificate.pem").toString(),
                tlsKey = resources.resolve("loopback-key.pem").toString(),
            )
        startEntry(settings, "f.toml", systemClock(), SILENT).unwrap().use { entry ->
            val trust =
                SslContextBuilder.forClient().trustManager(
                    resources.resolve("loopback-certificate.pem").toFile(),
                )
            val status =
                HttpClient
                    .create()
                    .secure { it.sslContext(trust.build()) }
                    .get()
                    .uri("https://127.0.0.1:${entry.httpPort}/")
                    .response()
                    .block()
                    ?.status()
                    ?.code()
            assertEquals(503, status)
        }
    }

    @Test
    fun `an error names the setting of a port in use`() {
        ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")).use { taken ->
            val address = "127.0.0.1:${taken.localPort}"
            mapOf(
                "http_address" to valid.copy(httpAddress = address),
                "operations_address" to valid.copy(operationsAddress = address),
                "link_address" to valid.copy(linkAddress = address),
            ).forEach { (key, settings) ->
                val failure = startEntry(settings, "f.toml", systemClock(), SILENT).getError()
                assertEquals(SettingsFailure.PortInUse("f.toml", key, address), failure)
            }
        }
    }
}
