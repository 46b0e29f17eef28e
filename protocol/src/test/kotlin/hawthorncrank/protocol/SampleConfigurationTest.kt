package hawthorncrank.protocol

import com.github.michaelbull.result.getOrElse
import hawthorncrank.common.loadSettings
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.test.fail

/** Detects samples that no longer load or that lack a part of the deployment they describe. */
class SampleConfigurationTest {
    @Test
    fun `the Caroni sample is complete`() = check("caroni", engines = 8, services = 3)

    @Test
    fun `the Signwright sample is complete`() = check("signwright", engines = 6, services = 3)

    private fun check(
        deployment: String,
        engines: Int,
        services: Int,
    ) {
        val file = Path.of("..", "samples", deployment, "configuration.toml")
        val configuration =
            loadSettings(file, Configuration.serializer()).getOrElse { failure -> fail(failure.message) }
        val classes = configuration.classes.map { it.name }.toSet()
        assertEquals(engines, configuration.upstreams.count { it.kind == UpstreamKind.ENGINE })
        assertEquals(services, configuration.upstreams.count { it.kind == UpstreamKind.SERVICE })
        assertEquals(10, configuration.organisations.size)
        assertEquals(
            3,
            configuration.upstreams
                .map { it.region }
                .toSet()
                .size,
        )
        assertTrue(configuration.organisations.all { classes.containsAll(it.classes) })
        assertTrue(configuration.services.all { it.className in classes })
        val offered = configuration.upstreams.mapNotNull { it.service }.toSet()
        assertEquals(offered, configuration.services.map { it.service }.toSet())
    }
}
