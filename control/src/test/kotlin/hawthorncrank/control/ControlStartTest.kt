package hawthorncrank.control

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import hawthorncrank.common.EventLog
import hawthorncrank.common.SettingsFailure
import hawthorncrank.common.decodeSettings
import hawthorncrank.common.systemClock
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class ControlStartTest {
    private val folder = Files.createTempDirectory("control-start")

    @Test
    fun `complete settings load`() {
        val settings = assertNotNull(decode(TOML).get())
        assertNull(settings.firstFailure("control.toml"))
        assertEquals(listOf("c1", "c2"), settings.replicas.map { it.name })
        assertEquals("desk", settings.operators.single().name)
    }

    @Test
    fun `every error in the settings is one line with file, key and remedy`() {
        val mistakes =
            mapOf(
                "colour = \"red\"\n$TOML" to "colour",
                TOML.replace("region =", "regoin =") to "region\": it is missing",
                TOML.replace("http_address = \"127.0.0.1:0\"\n", "") to "http_address\": it is missing",
                TOML.replace("127.0.0.1:7102", "localhost") to "replicas.address",
                TOML.replace("127.0.0.1:7102", "127.0.0.1:7101") to "replicas.address",
                TOML.replace("name = \"c2\"", "name = \"c1\"") to "replicas.name",
                TOML.replaceFirst("name = \"c1\"", "name = \"c9\"") to "replicas",
                TOML.replace("fleet_key = \"key\"", "fleet_key = \"\"") to "fleet_key",
                TOML.replace("pbkdf2", "md5") to "operators.key_hash",
                "platform_address = \"platform\"\n$TOML" to "platform_address",
            )
        mistakes.forEach { (text, key) ->
            val decoded = decode(text)
            val failure = assertNotNull(decoded.getError() ?: decoded.get()?.firstFailure("control.toml"), key)
            assertContains(failure.message, "control.toml")
            assertContains(failure.message, key)
            assertEquals(1, failure.message.lines().size)
        }
    }

    @Test
    fun `a port in use is reported with its key`() {
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { taken ->
            val address = "127.0.0.1:${taken.localPort}"
            listOf(
                "link_address" to settings().copy(linkAddress = address),
                "http_address" to settings().copy(httpAddress = address),
            ).forEach { (key, settings) ->
                assertEquals(SettingsFailure.PortInUse("control.toml", key, address), start(settings).getError())
            }
        }
    }

    @Test
    fun `a data folder that cannot be written is reported with its key`() {
        val blocked = Files.writeString(folder.resolve("file"), "").toString()
        val failure = start(settings().copy(dataFolder = "$blocked/data")).getError()
        assertEquals("data_folder", assertIs<SettingsFailure.UnwritableFolder>(failure).key)
    }

    @Test
    fun `a folder in use by another replica is refused`() {
        assertNotNull(start(settings()).get()).use {
            assertContains(assertNotNull(start(settings()).getError()).message, "data_folder")
        }
        assertNotNull(start(settings()).get(), "the folder is free after the replica closed").close()
    }

    @Test
    fun `reports of engines that this program cannot read are refused with their key`() {
        val failure = start(settings().copy(engineReports = true)).getError()
        assertEquals("engine_reports", assertIs<SettingsFailure.InvalidValue>(failure).key)
    }

    private fun settings(): ControlSettings =
        assertNotNull(decode(TOML).get()).copy(dataFolder = folder.resolve("data").toString())

    private fun start(settings: ControlSettings): Result<Control, SettingsFailure> =
        startControl(settings, "control.toml", systemClock(), EventLog { _, _ -> }) {}

    private fun decode(text: String) =
        decodeSettings(Path.of("control.toml").toString(), text, ControlSettings.serializer())

    private companion object {
        val HASH = "pbkdf2\$10\$" + "A".repeat(22) + "==\$" + "A".repeat(43) + "="
        val TOML =
            """
            name = "c1"
            availability_zone = "a"
            region = "south"
            data_folder = "data"
            link_address = "127.0.0.1:0"
            http_address = "127.0.0.1:0"
            fleet_key = "key"

            [[replicas]]
            name = "c1"
            address = "127.0.0.1:7101"

            [[replicas]]
            name = "c2"
            address = "127.0.0.1:7102"

            [[operators]]
            name = "desk"
            key_hash = "$HASH"
            """.trimIndent() + "\n"
    }
}
