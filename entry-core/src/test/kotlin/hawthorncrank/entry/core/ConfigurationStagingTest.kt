package hawthorncrank.entry.core

import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.WeightStore
import hawthorncrank.protocol.ZoneMessage
import hawthorncrank.protocol.canonical
import hawthorncrank.protocol.configurationDelta
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/**
 * Tests that versions never revert, come into force only when confirmed or held by a majority, and do come into force.
 */
class ConfigurationStagingTest {
    private fun update(
        scenario: Scenario,
        version: Long,
        confirmed: Boolean = true,
    ) = scenario.control(ControlToEntry.ConfigurationUpdate(version, scenario.configuration, confirmed))

    @Test
    fun `a confirmed version makes a new entry ready at once`() {
        val scenario = Scenario(zoneEntries = listOf("a", "b", "c"), started = false)
        scenario.send(EntryEvent.ControlLinkOpened)
        assertFalse(scenario.ready)
        val effects = update(scenario, 5)
        assertEquals(listOf(5L), effects.appliedVersions())
        assertTrue(effects.of<EntryEffect.ReadinessChanged>().single().ready)
    }

    @Test
    fun `an unconfirmed version does not start an entry`() {
        val scenario = Scenario(zoneEntries = listOf("a", "b", "c"), started = false)
        scenario.send(EntryEvent.ControlLinkOpened)
        assertEquals(emptyList(), (update(scenario, 5, confirmed = false) + scenario.pass(10_000)).appliedVersions())
        assertFalse(scenario.ready)
    }

    @Test
    fun `a version comes into force when a majority of the zone holds it`() {
        val scenario = Scenario(zoneEntries = listOf("a", "b", "c"))
        val staged = update(scenario, 6, confirmed = false)
        assertEquals(emptyList(), staged.appliedVersions())
        assertEquals(listOf(6L), staged.toZone<ZoneMessage.StagedNotice>().map { it.version })
        assertEquals(emptyList(), scenario.zone(ZoneMessage.StagedNotice("b", 5)).appliedVersions())
        assertEquals(listOf(6L), scenario.zone(ZoneMessage.StagedNotice("b", 6)).appliedVersions())
    }

    /** Neighbours must not be asked for a full configuration while control is about to send the small delta. */
    @Test
    fun `a higher version in the zone is requested only when control does not send it`() {
        val scenario = Scenario(zoneEntries = listOf("a", "b", "c"))
        val heard = scenario.zone(ZoneMessage.StagedNotice("b", 6)) + scenario.pass(2_900)
        assertEquals(0, heard.toZone<ZoneMessage.ConfigurationQuestion>().size)
        assertTrue(scenario.pass(200).toZone<ZoneMessage.ConfigurationQuestion>().isNotEmpty())
    }

    @Test
    fun `without neighbours a version comes into force after two seconds if it is confirmed on the open link`() {
        val scenario = Scenario(zoneEntries = listOf("a", "b", "c"))
        update(scenario, 6)
        assertEquals(emptyList(), scenario.pass(1_900).appliedVersions())
        assertEquals(listOf(6L), scenario.pass(100).appliedVersions())
        update(scenario, 7, confirmed = false)
        assertEquals(emptyList(), scenario.pass(5_000).appliedVersions())
        assertEquals(listOf(7L), update(scenario, 7).appliedVersions())
        update(scenario, 8)
        scenario.send(EntryEvent.ControlLinkClosed)
        scenario.send(EntryEvent.ControlLinkOpened)
        assertEquals(emptyList(), scenario.pass(5_000).appliedVersions())
    }

    @Test
    fun `a delta is applied to its base and the full configuration is requested when the base is missing`() {
        val scenario = Scenario(zoneEntries = listOf("a"))
        val next = scenario.configuration.copy(weightStore = WeightStore(loadsPerMinute = 9))
        val fits = configurationDelta(5, scenario.configuration.canonical(), 6, next.canonical())
        val applied = scenario.control(ControlToEntry.ConfigurationChange(fits, confirmed = false))
        val inForce = applied.of<EntryEffect.ConfigurationApplied>().single().configuration
        assertEquals(next.canonical(), inForce.canonical())
        val change = ControlToEntry.ConfigurationChange(fits.copy(baseVersion = 8, version = 9), confirmed = true)
        assertEquals(
            6,
            scenario
                .control(change)
                .toControl<EntryToControl.EntryHello>()
                .single()
                .appliedVersion,
        )
    }

    @Test
    fun `a lower version is never applied`() {
        val scenario = Scenario(zoneEntries = listOf("a"))
        assertEquals(listOf(6L), update(scenario, 6).appliedVersions())
        assertEquals(emptyList(), (update(scenario, 5) + scenario.pass(5_000)).appliedVersions())
        val answer = ZoneMessage.ConfigurationAnswer("b", 4, scenario.configuration)
        assertEquals(emptyList(), scenario.zone(answer).appliedVersions())
    }

    @Test
    fun `an entry without control starts with the highest version that enough neighbours answered with`() {
        val scenario = Scenario(zoneEntries = listOf("a", "b", "c"), started = false)
        assertTrue(scenario.pass(1_000).toZone<ZoneMessage.ConfigurationQuestion>().isNotEmpty())
        scenario.zone(ZoneMessage.ConfigurationAnswer("b", 8, scenario.configuration))
        scenario.zone(ZoneMessage.ConfigurationAnswer("b", 8, scenario.configuration))
        assertFalse(scenario.ready)
        val second = scenario.zone(ZoneMessage.ConfigurationAnswer("c", 7, scenario.configuration))
        assertEquals(listOf(8L), second.appliedVersions())
        assertTrue(scenario.ready)
    }

    @Test
    fun `an entry answers with its highest staged version but does not answer before it has started`() {
        val scenario = Scenario(zoneEntries = listOf("a", "b", "c"), started = false)
        val question = ZoneMessage.ConfigurationQuestion("b")
        update(scenario, 6, confirmed = false)
        assertEquals(emptyList(), scenario.zone(question).toZone<ZoneMessage.ConfigurationAnswer>())
        scenario.send(EntryEvent.ControlLinkOpened)
        update(scenario, 5)
        update(scenario, 7, confirmed = false)
        assertEquals(listOf(7L), scenario.zone(question).toZone<ZoneMessage.ConfigurationAnswer>().map { it.version })
    }

    @Test
    fun `without a control link a higher version is requested from its neighbour at once`() {
        val scenario = Scenario(zoneEntries = listOf("a", "b", "c"))
        scenario.send(EntryEvent.ControlLinkClosed)
        val asked = scenario.zone(ZoneMessage.StagedNotice("b", 9)).of<EntryEffect.SendToZone>().single()
        assertEquals("b", asked.recipient)
        val answer = ZoneMessage.ConfigurationAnswer("b", 9, scenario.configuration)
        assertEquals(listOf(9L), scenario.zone(answer).appliedVersions())
    }
}
