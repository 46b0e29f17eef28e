package hawthorncrank.control.internal

import hawthorncrank.common.KeyHash
import hawthorncrank.control.ControlHistory
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.Destination
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.OperatorAnswer
import hawthorncrank.protocol.OperatorCommand
import hawthorncrank.protocol.OperatorResponse
import hawthorncrank.protocol.Organisation
import hawthorncrank.protocol.Repetition
import hawthorncrank.protocol.RequestRoute
import hawthorncrank.protocol.RouteService
import hawthorncrank.protocol.TrafficClass
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Operators replace the whole configuration under versions that they number, through several replicas. */
class ReplaceConfigurationTest {
    private val group = VirtualGroup(3)
    private val first = ControlHistory.initial

    @Test
    fun `the highest version wins and a lower or equal one is acknowledged without effect`() {
        assertAccepted(7, first)
        val other = first.copy(classes = first.classes.map { it.copy(tier = 5) })
        assertAccepted(7, other)
        assertAccepted(3, other)
        assertEquals(listOf(7L, 7L, 7L), group.states().map { it.control.version })
        group.states().forEach { assertEquals(first.classes, it.control.configuration.classes) }
        assertAccepted(20, other)
        assertEquals(
            5,
            group
                .states()
                .first()
                .control.configuration.classes
                .first()
                .tier,
        )
    }

    /** Otherwise a change would be lost if another one were applied to the same base first. */
    @Test
    fun `of two changes sent at once through two replicas both are acknowledged and the higher version is active`() {
        assertAccepted(1, first)
        val replicas = listOf(group.leader(), group.follower())
        replicas.forEachIndexed { index, replica ->
            val command = OperatorCommand.ReplaceConfiguration(10L + index, byteArrayOf(index.toByte()), first)
            group.deliver(replica, ControlEvent.OperatorMessage(LINK, index.toLong(), "operator", command))
        }
        group.run(2_000)
        replicas.forEachIndexed { index, replica ->
            val answers = group.sent(replica, LINK).filterIsInstance<OperatorResponse>()
            assertIs<OperatorAnswer.Accepted>(answers.single { it.number == index.toLong() }.answer)
        }
        assertEquals(listOf(11L, 11L, 11L), group.states().map { it.control.version })
        assertEquals(listOf<Byte>(1), document(group.follower()).toList())
    }

    @Test
    fun `the document is read back as it was sent, from any replica`() {
        assertAccepted(4, first, "{ \"a\" : 1 }".encodeToByteArray())
        assertEquals("{ \"a\" : 1 }", document(group.leader()).decodeToString())
        assertEquals("{ \"a\" : 1 }", document(group.follower()).decodeToString())
    }

    @Test
    fun `an isolated replica refuses to read the document back`() {
        assertAccepted(4, first)
        val isolated = group.follower()
        group.cut(isolated)
        assertIs<OperatorAnswer.Refused>(group.execute(isolated, OperatorCommand.ShowDocument))
    }

    /** Otherwise an acknowledged configuration could be stored on the single disk of a group that is still growing. */
    @Test
    fun `replacements are refused until the group has its required voters`() {
        val single = VirtualGroup(1, requiredVoters = 3)
        val answer = single.execute(single.leader(), OperatorCommand.ReplaceConfiguration(1, ByteArray(0), first))
        assertTrue(assertIs<OperatorAnswer.Refused>(answer).elsewhere)
    }

    @Test
    fun `routes need known services, unique paths, positive weights and time limits, and each key has one owner`() {
        assertAccepted(1, routed())
        val route = routed().routes.single()
        val organisation = routed().organisations.single()
        val invalid =
            listOf(
                routed().copy(routeServices = emptyList()),
                routed().copy(routes = listOf(route, route.copy(name = "other"))),
                routed().copy(routes = listOf(route.copy(destinations = listOf(Destination("orders", 0))))),
                routed().copy(
                    classes = routed().classes.map { it.copy(finishBy = hawthorncrank.common.Milliseconds(0)) },
                ),
                routed().copy(organisations = listOf(organisation, organisation.copy(name = "second"))),
            )
        invalid.forEachIndexed { index, configuration ->
            val command = OperatorCommand.ReplaceConfiguration(10L + index, ByteArray(0), configuration)
            val refused = assertIs<OperatorAnswer.Refused>(group.execute(group.leader(), command), "number $index")
            assertTrue(!refused.elsewhere, "number $index may be accepted elsewhere")
        }
        assertEquals(listOf(1L, 1L, 1L), group.states().map { it.control.version })
    }

    /** Otherwise an entry could take an old answer as confirmation that its configuration is the newest. */
    @Test
    fun `a confirmation request is answered by a read that started after it`() {
        assertAccepted(3, first)
        val follower = group.follower()
        group.entry(follower, 1, EntryToControl.EntryHello("ignored", "zone", 3))
        group.run(1_000)
        group.entry(follower, 1, EntryToControl.ConfirmConfiguration(77))
        group.run(500)
        val answer = group.sent(follower, 1).filterIsInstance<ControlToEntry.ConfigurationConfirmed>().single()
        assertEquals(ControlToEntry.ConfigurationConfirmed(77, 3, entries = 1), answer)
        group.cut(follower)
        group.entry(follower, 1, EntryToControl.ConfirmConfiguration(78))
        group.run(5_000)
        assertEquals(1, group.sent(follower, 1).filterIsInstance<ControlToEntry.ConfigurationConfirmed>().size)
    }

    /**
     * If the request waited for a leader that has frozen while another one leads, all entries of the replica would
     * refuse everything. Without a contact time a confirmation is valid for 4.5 s, and entries request one every
     * 0.5 s.
     */
    @Test
    fun `a confirmation request sent to a frozen leader is answered by the next one before the confirmation expires`() {
        assertAccepted(3, first)
        val follower = group.follower()
        group.entry(follower, 1, EntryToControl.EntryHello("ignored", "zone", 3))
        group.run(1_000)
        group.cut(group.leader())
        group.entry(follower, 1, EntryToControl.ConfirmConfiguration(77))
        group.run(CONFIRMATION_LIFETIME_MILLISECONDS - CONFIRMATION_INTERVAL_MILLISECONDS)
        assertEquals(1, group.sent(follower, 1).filterIsInstance<ControlToEntry.ConfigurationConfirmed>().size)
    }

    /** Otherwise one lost message would leave the request unanswered while the same leader remains. */
    @Test
    fun `a confirmation request lost on its way to the leader is repeated before the confirmation expires`() {
        assertAccepted(3, first)
        val follower = group.follower()
        val leader = group.leader()
        group.entry(follower, 1, EntryToControl.EntryHello("ignored", "zone", 3))
        group.run(1_000)
        group.cut(leader)
        group.entry(follower, 1, EntryToControl.ConfirmConfiguration(77))
        group.heal()
        group.run(CONFIRMATION_LIFETIME_MILLISECONDS - CONFIRMATION_INTERVAL_MILLISECONDS)
        assertEquals(leader, group.leader())
        assertEquals(1, group.sent(follower, 1).filterIsInstance<ControlToEntry.ConfigurationConfirmed>().size)
    }

    private fun assertAccepted(
        version: Long,
        configuration: Configuration,
        document: ByteArray = ByteArray(0),
    ) {
        val command = OperatorCommand.ReplaceConfiguration(version, document, configuration)
        assertIs<OperatorAnswer.Accepted>(group.execute(group.leader(), command))
        group.run(1_000)
    }

    private fun document(replica: String): ByteArray =
        assertIs<OperatorAnswer.CurrentDocument>(group.execute(replica, OperatorCommand.ShowDocument)).document!!

    private fun routed() =
        Configuration(
            classes = listOf(TrafficClass("level tier 1", 1)),
            organisations =
                listOf(Organisation("one", "any", listOf("level tier 1"), listOf(KeyHash.digest("a key")))),
            routes =
                listOf(
                    RequestRoute(
                        "route",
                        "host",
                        "/path/",
                        "level",
                        1,
                        listOf(Destination("orders")),
                        Repetition.IDEMPOTENT,
                    ),
                ),
            routeServices = listOf(RouteService("orders")),
        )

    private companion object {
        const val LINK = 901L

        // Nine tenths of the time within which a revoked key must be refused.
        const val CONFIRMATION_LIFETIME_MILLISECONDS = 4_500L
        const val CONFIRMATION_INTERVAL_MILLISECONDS = 500L
    }
}
