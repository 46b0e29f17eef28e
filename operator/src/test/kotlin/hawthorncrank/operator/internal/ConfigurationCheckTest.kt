package hawthorncrank.operator.internal

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.obj
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.testing.CliktCommandTestResult
import com.github.ajalt.clikt.testing.test
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import hawthorncrank.common.KeyHash
import hawthorncrank.common.MillisecondClock
import hawthorncrank.common.Milliseconds
import hawthorncrank.intents.validateConfiguration
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.Destination
import hawthorncrank.protocol.OperatorAnswer
import hawthorncrank.protocol.OperatorCommand
import hawthorncrank.protocol.Organisation
import hawthorncrank.protocol.Repetition
import hawthorncrank.protocol.RequestRoute
import hawthorncrank.protocol.RouteService
import hawthorncrank.protocol.ServiceRoute
import hawthorncrank.protocol.TrafficClass
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull

class ConfigurationCheckTest {
    @TempDir
    lateinit var folder: Path

    private val calls = ArrayList<OperatorCommand>()

    /** Guards against a fault in the file that the check does not report, or reports for another field. */
    @Test
    fun `each contradiction and each item that can never match is found by its field`() {
        assertEquals(emptyList(), checkConfiguration(SOUND))
        val cases =
            mapOf(
                "target over the time limit" to
                    (withClass { copy(firstToken = Milliseconds(5_001)) } to "classes.fast tier 1.first_token"),
                "pause target over the time limit" to
                    (withClass { copy(betweenTokens = Milliseconds(5_001)) } to "classes.fast tier 1.between_tokens"),
                "floor over the queue" to
                    (withClass { copy(floorSlots = 9, queueRequests = 8) } to "classes.fast tier 1.floor_slots"),
                "unused class" to
                    (SOUND.copy(classes = SOUND.classes + TrafficClass("slow", 2)) to "classes.slow"),
                "organisation without a key" to
                    (withOrganisation { copy(keyHashes = emptyList()) } to "organisations.desk"),
                "tier without a permitted class" to
                    (withOrganisation { copy(tier = 3) } to "organisations.desk.classes"),
                "weight of 0" to
                    (
                        withRoute { copy(destinations = destinations + Destination("engines", 0)) } to
                            "routes.all.destinations"
                    ),
                "host with a port" to (withRoute { copy(host = "h:80") } to "routes.all.host"),
                "unused route service" to
                    (
                        SOUND.copy(routeServices = SOUND.routeServices + RouteService("spare")) to
                            "route_services.spare"
                    ),
                "service hidden by the same prefix" to
                    (withServices("/calls", "/calls") to "services.second.path_prefix"),
                "service hidden by a prefix with a slash at the end" to
                    (withServices("/calls", "/calls/") to "services.first.path_prefix"),
            )
        cases.forEach { (case, expectation) ->
            val (configuration, field) = expectation
            val found = checkConfiguration(configuration).map { it.severity to it.field }
            assertEquals(listOf(FindingSeverity.WARNING to field), found, case)
        }
    }

    /** Guards against a check that accepts what the control group refuses, or the reverse. */
    @Test
    fun `errors are those of the control group`() {
        val cases =
            mapOf(
                "tier out of range" to withClass { copy(tier = 9) },
                "route hidden by another with the same host and prefix" to
                    SOUND.copy(routes = SOUND.routes + SOUND.routes.single().copy(name = "again", host = "H")),
                "unknown class" to withOrganisation { copy(classes = classes + "missing") },
                "rate that no request passes" to withOrganisation { copy(requestsPerSecond = 0) },
                "malformed key hash" to withOrganisation { copy(keyHashes = listOf(SECRET)) },
                "only a weight of 0" to withRoute { copy(destinations = listOf(Destination("engines", 0))) },
            )
        cases.forEach { (case, configuration) ->
            val errors = checkConfiguration(configuration).filter { it.severity == FindingSeverity.ERROR }
            assertEquals(validateConfiguration(configuration).map { it.problem }, errors.map { it.problem }, case)
            assertEquals(1, errors.size, case)
            assertFalse(SECRET in errors.toString(), case)
        }
    }

    /** Guards against a key hash in the output because it stands in a field that messages quote. */
    @Test
    fun `a key hash in the wrong field is not printed`() {
        val cases =
            mapOf(
                "hash as a name" to { hash: String -> withOrganisation { copy(name = hash) } },
                "hash as a class" to { hash: String -> withOrganisation { copy(classes = classes + hash) } },
                "hash as a service" to { hash: String -> withRoute { copy(destinations = listOf(Destination(hash))) } },
            )
        cases.forEach { (case, configuration) ->
            listOf(HASH, KeyHash.digest("desk.key")).forEach { hash ->
                val found = checkConfiguration(configuration(hash))
                val printed = found.toString() + differencesBetween(SOUND, configuration(hash))
                assertContains(printed, "(key hash)", message = case)
                assertFalse(hash.takeLast(DIGITS) in printed, "$case: $printed")
            }
        }
    }

    /** Guards against errors without a place in the file, and against key hashes in a message of the parser. */
    @Test
    fun `an unreadable file is reported with line and field and without its content`() {
        val hashes = "api_key_hashes = "
        val cases =
            mapOf(
                "wrong type" to ("[[classes]]\nname = \"a\"\ntier = \"high\"\n" to "line 3, key \"tier\""),
                "no value" to ("[[classes]]\nname = \"a\"\ntier =\n" to "line 3, key \"tier\""),
                "unknown key" to ("[[classes]]\nname = \"a\"\ntier = 1\ntire = 1\n" to "unknown key \"tire\""),
                "missing key" to ("[[classes]]\nname = \"a\"\n" to "key \"tier\": it is missing"),
                "malformed duration" to
                    ("[[classes]]\nname = \"a\"\ntier = 1\nfinish_by = \"soon\"\n" to "key \"finish_by\""),
                "hash without quotes" to ("[[organisations]]\n$hashes[$SECRET]\n" to "line 2, key \"api_key_hashes\""),
                "hash without a bracket" to
                    ("[[organisations]]\n$hashes[\"$SECRET\"\n" to "line 2, key \"api_key_hashes\""),
                "hash as a key" to ("[[classes]]\nname = \"a\"\ntier = 1\n\"$SECRET\" = 1\n" to "unknown key"),
                "hash without a key" to ("[[organisations]]\n$SECRET\n" to "line 2"),
            )
        cases.forEach { (case, expectation) ->
            val (text, place) = expectation
            val file = folder.resolve("configuration.toml").apply { writeText(text) }
            val message = assertNotNull(readConfigurationFile(file).getError(), case).message
            assertContains(message, place, message = case)
            assertFalse(SECRET in message, "$case: $message")
        }
        assertContains(
            assertNotNull(readConfigurationFile(folder.resolve("none")).getError()).message,
            "cannot be read",
        )
    }

    /** Guards against scripts that take a refused configuration for a sound one. */
    @Test
    fun `the exit code tells sound, warnings and errors apart`() {
        val warning = withClass { copy(floorSlots = 9, queueRequests = 8) }
        val error = withClass { copy(tier = 9) }
        val cases =
            mapOf(
                "sound" to (run(SOUND) to 0),
                "sound, strict" to (run(SOUND, "--strict") to 0),
                "warning" to (run(warning) to 0),
                "warning, strict" to (run(warning, "--strict") to 1),
                "error" to (run(error) to 2),
                "error, strict" to (run(error, "--strict") to 2),
                "no file" to (run("check ${folder.resolve("none")}") to 2),
            )
        cases.forEach { (case, expectation) ->
            assertEquals(expectation.second, expectation.first.statusCode, case)
        }
        assertEquals(emptyList(), calls, "the check of a file asks no replica")
    }

    /** Guards against output that scripts cannot read, and against key hashes in it. */
    @Test
    fun `the report in JSON has the findings and no hash`() {
        val output = run(withClass { copy(floorSlots = 9, queueRequests = 8) }, "--format json").stdout
        val finding =
            Json
                .parseToJsonElement(output)
                .jsonObject
                .getValue("findings")
                .jsonArray
                .single()
                .jsonObject
        assertEquals("warning", finding.getValue("severity").jsonPrimitive.content)
        assertEquals("classes.fast tier 1.floor_slots", finding.getValue("field").jsonPrimitive.content)
        assertFalse(HASH in output)
    }

    /** Guards against a comparison that changes something, prints hashes or hides that no replica answered. */
    @Test
    fun `differences from the version in force are named and nothing is sent but a read`() {
        val current = OperatorAnswer.CurrentConfiguration(7, SOUND)
        val next = withOrganisation { copy(keyHashes = listOf(KeyHash.hash("another", iterations = 10))) }
        val output = run(next.copy(routeServices = next.routeServices.reversed()), "--against-current", current).stdout
        assertContains(output, "differences from version 7:\n  organisation desk set\n")
        assertFalse("pbkdf2" in output, output)
        assertContains(run(SOUND, "--against-current", current).stdout, "no difference from version 7")
        val refused = OperatorAnswer.Refused("no leader", "retry")
        assertEquals(2, run(SOUND, "--against-current", refused).statusCode)
        assertEquals(setOf<OperatorCommand>(OperatorCommand.ShowConfiguration), calls.toSet())
    }

    private fun run(
        configuration: Configuration,
        options: String = "",
        answer: OperatorAnswer? = null,
    ): CliktCommandTestResult {
        val file = folder.resolve("configuration.toml")
        file.writeText(configurationLines(configuration).joinToString("\n"))
        assertEquals(configuration, readConfigurationFile(file).get())
        return run("check $file $options", answer)
    }

    private fun run(
        arguments: String,
        answer: OperatorAnswer? = null,
    ) = Root(answer).subcommands(CheckCommand()).test(arguments)

    private inner class Root(
        private val answer: OperatorAnswer?,
    ) : CliktCommand() {
        override fun run() {
            val call =
                ReplicaCall { _, command, _ ->
                    calls += command
                    answer
                }
            currentContext.obj = SessionSource { ControlSession(listOf("a"), call, CLOCK, { _, _ -> }) { } }
        }
    }

    private companion object {
        const val SECRET = "pbkdf2\$10\$c2VjcmV0\$not-a-hash"
        const val DIGITS = 20
        val HASH = KeyHash.hash("key", iterations = 10)
        val CLOCK =
            object : MillisecondClock {
                override fun now() = 0L

                override fun wallTime() = 0L
            }
        val SOUND =
            Configuration(
                classes = listOf(TrafficClass("fast tier 1", 1, Milliseconds(500), finishBy = Milliseconds(5_000))),
                organisations = listOf(Organisation("desk", "south", listOf("fast tier 1"), listOf(HASH))),
                routes =
                    listOf(
                        RequestRoute("all", "h", "/", "fast", 1, listOf(Destination("engines")), Repetition.IDEMPOTENT),
                    ),
                routeServices = listOf(RouteService("engines", servesModels = true)),
            )

        fun withClass(change: TrafficClass.() -> TrafficClass) = SOUND.copy(classes = SOUND.classes.map { it.change() })

        fun withOrganisation(change: Organisation.() -> Organisation) =
            SOUND.copy(organisations = SOUND.organisations.map { it.change() })

        fun withRoute(change: RequestRoute.() -> RequestRoute) = SOUND.copy(routes = SOUND.routes.map { it.change() })

        fun withServices(
            first: String,
            second: String,
        ) = SOUND.copy(
            services =
                listOf(ServiceRoute("second", second, "fast tier 1"), ServiceRoute("first", first, "fast tier 1")),
        )
    }
}
