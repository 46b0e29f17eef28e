package hawthorncrank.operator.internal

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.obj
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.testing.test
import com.github.michaelbull.result.get
import hawthorncrank.common.EventLog
import hawthorncrank.common.KeyHash
import hawthorncrank.common.MillisecondClock
import hawthorncrank.common.decodeSettings
import hawthorncrank.common.loadSettings
import hawthorncrank.operator.OperatorSettings
import hawthorncrank.operator.firstFailure
import hawthorncrank.protocol.ClaimKey
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.OperatorAnswer
import hawthorncrank.protocol.OperatorCommand
import hawthorncrank.protocol.ReplicaMember
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

class OperatorTest {
    private var now = 0L
    private val calls = ArrayList<Pair<String, OperatorCommand>>()
    private val clock =
        object : MillisecondClock {
            override fun now() = now

            override fun wallTime() = now
        }
    private val addresses = listOf("a", "b", "c")

    @Test
    fun `when a replica does not answer, the next one gets the command under the same identifier`() {
        val session = session { address -> OperatorAnswer.Accepted(2, emptyList()).takeIf { address == "c" } }
        assertEquals(OperatorAnswer.Accepted(2, emptyList()), session.ask(DRAIN))
        assertEquals(listOf("a" to DRAIN, "b" to DRAIN, "c" to DRAIN), calls)
        assertTrue(now <= 10_000)
    }

    @Test
    fun `a command ends within 10 s and is uncertain if any replica may have accepted it`() {
        assertIs<OperatorAnswer.Uncertain>(session { null }.ask(DRAIN))
        assertTrue(now <= 10_000, "took $now ms")
    }

    @Test
    fun `the next replica is asked after a refusal that applies to one replica only, not after a final one`() {
        val elsewhere = OperatorAnswer.Refused("no leader", "retry", elsewhere = true)
        val final = OperatorAnswer.Refused("no such upstream", "look")
        assertEquals(final, session { if (it == "a") elsewhere else final }.ask(DRAIN))
        assertEquals(listOf("a", "b"), calls.map { it.first })
        assertEquals(elsewhere, session { elsewhere.also { now += 500 } }.ask(DRAIN))
    }

    @Test
    fun `the group is formed from the identities that the replicas report`() {
        val members = addresses.map { ReplicaMember("control-$it", "identity-$it", it) }
        val session =
            sessionOf { address, command ->
                when (command) {
                    OperatorCommand.Identity ->
                        OperatorAnswer.ReplicaIdentity(
                            members.first { it.address == address },
                            false,
                        )
                    else -> OperatorAnswer.Accepted(0, listOf("the group is formed"))
                }
            }
        assertEquals(0, run(FormCommand(), session, "").statusCode)
        assertEquals(OperatorCommand.FormGroup(members), calls.last().second)
    }

    @Test
    fun `a group is not formed while a replica does not answer or already belongs to a group`() {
        val formed = OperatorAnswer.ReplicaIdentity(ReplicaMember("control-a", "i", "a"), formed = true)
        assertContains(run(FormCommand(), session { formed }, "").output, "already belongs to a group")
        assertContains(run(FormCommand(), session { null }, "").output, "does not answer")
        assertTrue(calls.none { it.second is OperatorCommand.FormGroup })
    }

    @Test
    fun `changes carry a new identifier unless the operator gives one`() {
        val accepted = session { OperatorAnswer.Accepted(1, emptyList()) }
        run(DrainCommand(), accepted, "engine1")
        run(DrainCommand(), accepted, "engine1 --undo")
        run(DrainCommand(), accepted, "engine1 --identifier x")
        val drains = calls.map { it.second as OperatorCommand.Drain }
        assertEquals(listOf(true, false, true), drains.map { it.draining })
        assertNotEquals(drains[0].commandIdentifier, drains[1].commandIdentifier)
        assertEquals("x", drains[2].commandIdentifier)
    }

    @Test
    fun `a conflict fails and shows the current version and who changed it`() {
        val result = run(ConfirmCommand(), session { OperatorAnswer.Conflict(7, "desk", 0) }, "3")
        assertEquals(1, result.statusCode)
        assertContains(result.output, "current version is 7, changed by desk at 1970-01-01T00:00:00Z")
    }

    @Test
    fun `resolving a claim needs exactly one of --ran and --not-run`() {
        val accepted = session { OperatorAnswer.Accepted(1, emptyList()) }
        listOf("resolve org key", "resolve org key --ran --not-run").forEach {
            assertNotEquals(0, run(ClaimCommand(), accepted, it).statusCode)
        }
        assertEquals(0, run(ClaimCommand(), accepted, "resolve org key --not-run").statusCode)
        val command = calls.single().second as OperatorCommand.ResolveClaim
        assertEquals(ClaimKey("org", "key") to false, command.key to command.ran)
    }

    @Test
    fun `explain prints the report of a replica that has the request`() {
        val session = session { OperatorAnswer.Report(if (it == "b") listOf("entry e: queued 3 ms") else emptyList()) }
        assertContains(run(ExplainCommand(), session, "r-1").output, "queued 3 ms")
        assertEquals(1, run(ExplainCommand(), session { OperatorAnswer.Report(emptyList()) }, "r-2").statusCode)
    }

    @Test
    fun `an intent is given as a sentence or a file, not both`() {
        val report = session { OperatorAnswer.Report(listOf("plan 1")) }
        assertEquals(0, run(PlanCommand(), report, "'drain engine e3'").statusCode)
        assertEquals("drain engine e3", (calls.single().second as OperatorCommand.PlanIntent).sentence)
        listOf("", "'drain e3' --file x.toml", "--file missing.toml").forEach {
            assertNotEquals(0, run(PlanCommand(), report, it).statusCode)
        }
    }

    @Test
    fun `the printed configuration decodes to the same configuration`() {
        listOf("caroni", "signwright").forEach { sample ->
            val file = Path.of("..", "samples", sample, "configuration.toml")
            val configuration = assertNotNull(loadSettings(file, Configuration.serializer()).get())
            val text = configurationLines(configuration).joinToString("\n")
            assertEquals(configuration, decodeSettings("shown", text, Configuration.serializer()).get(), sample)
        }
    }

    @Test
    fun `hash-key prints a hash of the key on standard input and refuses a short key`() {
        val result = HashKeyCommand { "a key of some length" }.test("--iterations 10000")
        assertTrue(KeyHash.verify("a key of some length", result.stdout.trim()))
        assertEquals(1, HashKeyCommand { "short" }.test("").statusCode)
    }

    @Test
    fun `sample settings load and each empty setting is reported by its key`() {
        val file = Path.of("..", "samples", "caroni", "operator.toml")
        val settings = assertNotNull(loadSettings(file, OperatorSettings.serializer()).get())
        assertEquals(null, settings.firstFailure("f"))
        val mistakes =
            mapOf(
                "control" to settings.copy(control = emptyList()),
                "operator" to settings.copy(operator = ""),
                "key" to settings.copy(key = " "),
                "fleet_key" to settings.copy(fleetKey = ""),
            )
        mistakes.forEach { (key, wrong) -> assertContains(assertNotNull(wrong.firstFailure("f")).message, "\"$key\"") }
    }

    @Test
    fun `every event is listed in the catalogue`() {
        val page = Path.of("..", "docs", "events.md").readText()
        OperatorEventCode.entries.forEach { assertContains(page, "| ${it.number} | ${it.level} | ${it.text} |") }
    }

    private fun session(answer: (String) -> OperatorAnswer?) = sessionOf { address, _ -> answer(address) }

    private fun sessionOf(answer: (String, OperatorCommand) -> OperatorAnswer?): ControlSession {
        val call =
            ReplicaCall { address, command, milliseconds ->
                calls += address to command
                answer(address, command).also { now += if (it == null) milliseconds else 10 }
            }
        return ControlSession(addresses, call, clock, EventLog { _, _ -> }) { now += it }
    }

    private fun run(
        command: CliktCommand,
        session: ControlSession,
        arguments: String,
    ) = Root(session).subcommands(command).test("${command.commandName} $arguments")

    private class Root(
        private val session: ControlSession,
    ) : CliktCommand() {
        override fun run() {
            currentContext.obj = SessionSource { session }
        }
    }

    private companion object {
        val DRAIN: OperatorCommand = OperatorCommand.Drain("engine1", true, "identifier")
    }
}
