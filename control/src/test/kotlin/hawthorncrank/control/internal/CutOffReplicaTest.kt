package hawthorncrank.control.internal

import hawthorncrank.consensus.ReplicaSettings
import hawthorncrank.entry.core.confirmationLifetime
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.OperatorAnswer
import hawthorncrank.protocol.OperatorCommand
import hawthorncrank.protocol.OperatorResponse
import hawthorncrank.protocol.Organisation
import hawthorncrank.protocol.RouteService
import hawthorncrank.protocol.TrafficClass
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Entries whose control replica is cut off from the others, with the timeouts of the platform. */
class CutOffReplicaTest {
    private val timeouts =
        ReplicaSettings(
            emptyList(),
            electionTimeoutMinimum = 700,
            electionTimeoutMaximum = 1_400,
            heartbeatInterval = 200,
        )
    private val group = VirtualGroup(3, timeouts = timeouts)
    private val lifetime = confirmationLifetime(KEY_REVOCATION_MILLISECONDS, CONTACT_MILLISECONDS)

    /** The entry would use a configuration that another replica has already replaced. */
    @ParameterizedTest
    @ValueSource(longs = [0, 100, 200, 300, 400, 500, 600, 700, 800, 900])
    fun `an older configuration is not in use when the entry must obey the new one again`(offset: Long) {
        replace(1)
        val cutOff = group.follower()
        // The entry knows no other replica, so only the age of its confirmation can stop it.
        val entry = VirtualEntry(group, listOf(cutOff), lifetime)
        entry.run(2_000 + offset)
        assertEquals(1L, entry.versionInUse())
        group.cut(cutOff)
        replace(2)
        entry.run(CONTACT_MILLISECONDS)
        assertEquals(null, entry.versionInUse(), "cut off at $offset ms")
    }

    /** The entry would wait at a replica that cannot confirm its configuration and refuse all requests. */
    @ParameterizedTest
    @ValueSource(longs = [0, 100, 200, 300, 400, 500, 600, 700, 800, 900])
    fun `the entry links to another replica before its confirmation expires`(offset: Long) {
        replace(1)
        val cutOff = group.follower()
        val entry = VirtualEntry(group, listOf(cutOff, group.leader()), lifetime)
        entry.run(2_000 + offset)
        group.cut(cutOff)
        replace(2)
        val versions = versionsUntilContact(entry)
        assertEquals(2L, versions.last(), "cut off at $offset ms: $versions")
        assertTrue(null !in versions, "cut off at $offset ms, requests are refused: $versions")
    }

    /** Each election would interrupt service if entries moved, or if their confirmation expired, before it ends. */
    @ParameterizedTest
    @ValueSource(longs = [0, 100, 200, 300, 400, 500, 600, 700, 800, 900])
    fun `an election interrupts no entry of the remaining replicas`(offset: Long) {
        replace(1)
        val entry = VirtualEntry(group, listOf(group.follower()), lifetime)
        entry.run(2_000 + offset)
        group.cut(group.leader())
        val versions = versionsUntilContact(entry)
        assertTrue(null !in versions, "leader cut off at $offset ms, requests are refused: $versions")
        assertTrue(group.closedLinks.isEmpty(), "leader cut off at $offset ms, links are closed")
    }

    private fun versionsUntilContact(entry: VirtualEntry) =
        List((CONTACT_MILLISECONDS / STEP_MILLISECONDS).toInt()) {
            entry.run(STEP_MILLISECONDS)
            entry.versionInUse()
        }

    private fun replace(version: Long) {
        val leader = group.leader()
        val command = OperatorCommand.ReplaceConfiguration(version, ByteArray(0), CONFIGURATION)
        group.deliver(leader, ControlEvent.OperatorMessage(LINK, version, "operator", command))
        val answers = group.sent(leader, LINK).filterIsInstance<OperatorResponse>()
        assertIs<OperatorAnswer.Accepted>(answers.single { it.number == version }.answer)
    }

    private companion object {
        const val LINK = 901L
        const val STEP_MILLISECONDS = 100L

        // The bounds of the platform: revoke_ms and contact_ms.
        const val KEY_REVOCATION_MILLISECONDS = 5_000L
        const val CONTACT_MILLISECONDS = 4_000L
        val CONFIGURATION =
            Configuration(
                classes = listOf(TrafficClass("drafts", 1)),
                organisations = listOf(Organisation("lumen", "region", listOf("drafts"), emptyList())),
                routeServices = listOf(RouteService("model", servesModels = true)),
            )
    }
}
