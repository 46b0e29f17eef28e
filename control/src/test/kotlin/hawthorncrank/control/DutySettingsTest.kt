package hawthorncrank.control

import hawthorncrank.common.Milliseconds
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class DutySettingsTest {
    private val plain =
        ControlSettings(
            name = "core-a-1",
            availabilityZone = "a",
            region = "south",
            dataFolder = "data",
            linkAddress = "127.0.0.1:7101",
            httpAddress = "127.0.0.1:0",
            fleetKey = "key",
            replicas = listOf(ReplicaSettingsEntry("core-a-1", "127.0.0.1:7101")),
        )
    private val complete =
        plain.copy(
            platformAddress = "127.0.0.1:81",
            duties = listOf("usage_report", "autoscale"),
            orderEngines = true,
            dutyCallsPerSecond = 50.0,
            dutyLease = Milliseconds(3_000),
            usageWindow = Milliseconds(5_000),
            usageDeadline = Milliseconds(10_000),
        )

    @Test
    fun `complete settings give rules under the name of the machine`() {
        assertNull(complete.firstFailure("control.toml"))
        val rules = assertNotNull(complete.dutyRules("core-a-1"))
        assertEquals(Duty.entries.toSet(), rules.duties)
        assertEquals(listOf(750L, 1_000L), listOf(rules.contactLimit, rules.callLimit))
    }

    @Test
    fun `without duties nothing is required and nothing is done`() {
        assertNull(plain.copy(dutyLease = Milliseconds(1)).firstFailure("control.toml"))
        assertNull(plain.dutyRules("core-a-1"))
    }

    /** The plan of engine counts has made callers wait on some loads, so nobody may get it unasked. */
    @Test
    fun `engines are ordered only where the settings say so`() {
        val rules = complete.copy(orderEngines = false).dutyRules("core-a-1")
        assertEquals(setOf(Duty.USAGE_REPORT), rules?.duties)
    }

    /** A platform with a new duty must not keep the replicas of an older build from starting. */
    @Test
    fun `unknown duties are ignored, and missing limits have defaults`() {
        val settings = complete.copy(duties = complete.duties + "reports", dutyCallsPerSecond = null, dutyLease = null)
        assertNull(settings.firstFailure("control.toml"))
        assertEquals(complete.dutyRules("core-a-1")?.duties, settings.dutyRules("core-a-1")?.duties)
        assertEquals(3_000, settings.dutyRules("core-a-1")?.lease)
        assertEquals(listOf("reports"), settings.unknownDuties)
        assertNull(complete.copy(duties = listOf("reports")).dutyRules("core-a-1"))
    }

    @Test
    fun `every invalid setting is named with its remedy`() {
        val mistakes =
            mapOf(
                complete.copy(platformAddress = null) to "\"platform_address\": it is missing",
                complete.copy(dutyCallsPerSecond = 0.0) to "\"duty_calls_per_second\": it is 0.0",
                complete.copy(dutyCallsPerSecond = Double.NaN) to "\"duty_calls_per_second\": it is NaN",
                complete.copy(dutyLease = Milliseconds(999)) to "\"duty_lease\": it is 999 ms",
                complete.copy(
                    heartbeat = Milliseconds(750),
                ) to "\"duty_lease\": it is 3000 ms and the heartbeat 750 ms",
                complete.copy(usageWindow = null) to "\"usage_window\": it is missing",
                complete.copy(usageDeadline = Milliseconds(0)) to "\"usage_deadline\": it is 0 ms",
            )
        mistakes.forEach { (settings, problem) ->
            assertContains(assertNotNull(settings.firstFailure("control.toml"), problem).message, problem)
        }
        assertNull(complete.copy(duties = listOf("autoscale"), usageWindow = null).firstFailure("control.toml"))
    }
}
