package hawthorncrank.endtoend

import io.cucumber.java.After
import io.cucumber.java.en.Given
import io.cucumber.java.en.Then
import io.cucumber.java.en.When
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import java.net.URI
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** The step definitions of the scenarios in `features`. */
class FleetSteps {
    private lateinit var fleet: Fleet
    private lateinit var calls: List<Call>
    private lateinit var deployment: Deployment
    private var keys: List<String> = emptyList()

    @After
    fun stopFleet() {
        if (::fleet.isInitialized) fleet.close()
    }

    @Given("a running fleet of {string}")
    fun startFleet(name: String) {
        deployment = Deployment.of(name)
        fleet = Fleet(name)
        fleet.start()
    }

    @When("{int} callers stream answers of {int} tokens in class {string} through all entries")
    fun streamThroughAll(
        callers: Int,
        tokens: Int,
        className: String,
    ) = stream(callers, tokens, className, fleet.entries)

    @When("{int} callers stream answers of {int} tokens in class {string} through entry {int}")
    fun streamThroughOne(
        callers: Int,
        tokens: Int,
        className: String,
        entry: Int,
    ) = stream(callers, tokens, className, listOf(fleet.entry(entry)))

    private fun stream(
        callers: Int,
        tokens: Int,
        className: String,
        entries: List<URI>,
    ) {
        calls =
            (0 until callers).map { number ->
                Call.send(deployment.modelCall(entries[number % entries.size], className, number, tokens))
            }
        calls.forEach(Call::awaitFirstBytes)
    }

    @When("{int} {word} {word} are each sent to entries {int} and {int} with the same key")
    fun sendPrintOrdersTwice(
        count: Int,
        firstWord: String,
        secondWord: String,
        first: Int,
        second: Int,
    ) = sendTwice(count, "$firstWord-$secondWord", first, second)

    @When("{int} bookings are each sent to entries {int} and {int} with the same key")
    fun sendBookingsTwice(
        count: Int,
        first: Int,
        second: Int,
    ) = sendTwice(count, "booking", first, second)

    private fun sendTwice(
        count: Int,
        prefix: String,
        first: Int,
        second: Int,
    ) {
        keys = (1..count).map { "$prefix-$it" }
        calls =
            keys.flatMap { key ->
                listOf(first, second).map { Call.send(deployment.serviceCall(fleet.entry(it), key)) }
            }
    }

    @When("{string} is killed")
    fun kill(name: String) = fleet.program(name).kill()

    @When("{string} is started again")
    fun startAgain(name: String) = fleet.program(name).start()

    @When("{string} is asked to stop")
    fun requestStop(name: String) = fleet.program(name).requestStop()

    @When("a booking with key {string} is sent to entry {int}, which is killed once the booking runs")
    fun killEntryDuringBooking(
        key: String,
        entry: Int,
    ) {
        val call = Call.send(deployment.serviceCall(fleet.entry(entry), key))
        eventually("the booking runs") { runs(key) > 0 }
        fleet.program("entry-$entry").kill()
        call.await()
    }

    @When("the engines {string}, {string} and {string} drop their connections")
    fun dropConnections(
        first: String,
        second: String,
        third: String,
    ) = listOf(first, second, third).forEach { fleet.injectFault(it, """{"drop_connections":true}""") }

    @When("a caller sends a request that crashes engines to entries {int}, {int} and {int} until it is refused")
    fun sendCrashingRequest(
        first: Int,
        second: Int,
        third: Int,
    ) = listOf(first, second, third).forEach { entry ->
        eventually("entry $entry refuses the request that crashes engines") {
            Call.send(deployment.crashingCall(fleet.entry(entry))).await().status == HTTP_REFUSED_CONTENT
        }
    }

    /** Each of the three entries may crash three engines before a conviction reaches the other entries. */
    @Then("between 1 and {int} engine crashes occurred")
    fun engineCrashesBetweenOneAnd(limit: Int) {
        val crashes = (1..3).sumOf { fleet.program("emulator-$it").countLines("engine stand-in crashed") }
        assertTrue(crashes in 1..limit, "$crashes engine crashes")
    }

    @When("the operator changes the weight of an organisation based on version {int}")
    fun changeWeight(base: Int) {
        fleet.proposeWeight(weight = 7, base, expectedExit = 0)
    }

    @Then("version {int} is in force at every entry within {int} s")
    fun versionEverywhere(
        version: Int,
        seconds: Int,
    ) = eventually("version $version is in force everywhere", seconds) {
        (1..3).all { fleet.versionAt("entry-$it") == version }
    }

    @Then("a second change based on version {int} is refused as a conflict")
    fun conflictingChange(base: Int) {
        val output = fleet.proposeWeight(weight = 8, base, expectedExit = 1)
        assertTrue("the current version is 2" in output, output)
    }

    @Then("{string} is ready with version {int} in force")
    fun readyWithVersion(
        entry: String,
        version: Int,
    ) {
        fleet.awaitReady(entry)
        assertEquals(version, fleet.versionAt(entry))
    }

    @Then("every caller has the complete answer to its own request")
    fun allComplete() = calls.forEach { assertComplete(it) }

    @Then("every caller of entries 1 and 2 has the complete answer")
    fun callersOfEntriesOneAndTwoComplete() {
        val killed = fleet.entry(3).port
        calls.filter { it.request.uri().port != killed }.forEach { assertComplete(it) }
    }

    @Then("every caller has the complete answer, an interrupted prefix of it, or an error that states the outcome")
    fun allCompleteOrInterruptedOrError() =
        calls.forEach { call ->
            val end = call.await()
            val expected = expected(call)
            val errorEvent = end.body.substringAfter(ERROR_EVENT, missingDelimiterValue = "")
            val delivered = end.body.substringBefore(ERROR_EVENT)
            when {
                end.connectionFailure != null ->
                    assertTrue(expected.startsWith(end.body), "a broken answer is not a prefix of the expected answer")
                end.status != HTTP_OK -> assertTrue(end.outcome in setOf("not-run", "unknown"), end.toString())
                errorEvent.isEmpty() -> assertEquals(expected, end.body)
                else -> assertTrue(expected.startsWith(delivered), "not a prefix of the expected answer: $end")
            }
        }

    @Then("a new stream through entry {int} is complete")
    fun newStream(entry: Int) =
        eventually("a complete stream through entry $entry") {
            val call = Call.send(deployment.modelCall(fleet.entry(entry), deployment.quickClass, NEW_NUMBER, 10))
            val end = call.await()
            end.status == HTTP_OK && end.body == expected(call)
        }

    @Then("every booking ran exactly once")
    fun bookingsOnce() {
        val ends = calls.map { it.await() }
        assertEquals(keys.associateWith { 1L }, keys.associateWith { runs(it) }, ends.distinct().toString())
    }

    @Then("every print order ran exactly once")
    fun ordersOnce() = bookingsOnce()

    @Then("every caller received the answer or was told that the call is still running")
    fun answeredOrRunning() =
        calls.forEach { call ->
            val end = call.await()
            assertTrue(end.status in setOf(HTTP_CREATED, HTTP_CONFLICT), end.toString())
            if (end.status == HTTP_CREATED) assertEquals("ran", end.outcome, end.toString())
        }

    @Then("{string} reports that it is not ready before it exits")
    fun reportsNotReady(name: String) = fleet.awaitNotReady(name)

    @Then("{string} has exited without an error")
    fun exitedCleanly(name: String) = assertEquals(0, fleet.program(name).awaitExit(), fleet.program(name).log())

    @Then("a booking with key {string} runs exactly once within {int} s")
    fun bookingRuns(
        key: String,
        seconds: Int,
    ) {
        eventually("booking $key is answered", seconds) {
            Call.send(deployment.serviceCall(fleet.entry(2), key)).await().status == HTTP_CREATED
        }
        assertEquals(1L, runs(key))
    }

    @Then("a booking with key {string} is refused as not run")
    fun bookingRefused(key: String) {
        val end = Call.send(deployment.serviceCall(fleet.entry(2), key)).await()
        assertEquals(HTTP_UNAVAILABLE, end.status, end.toString())
        assertEquals("not-run", end.outcome)
        assertEquals(0L, runs(key))
    }

    @Then("a resend of the booking with key {string} to entry {int} never runs it again")
    fun neverRunsAgain(
        key: String,
        entry: Int,
    ) {
        repeat(5) {
            val end = Call.send(deployment.serviceCall(fleet.entry(entry), key)).await()
            assertTrue(end.status != HTTP_CREATED || end.outcome == "ran", end.toString())
            assertTrue(end.outcome != "not-run" || end.status == HTTP_UNAVAILABLE, end.toString())
        }
        assertEquals(1L, runs(key))
    }

    private fun assertComplete(call: Call) {
        val end = call.await()
        assertEquals(HTTP_OK, end.status, end.toString())
        assertEquals(expected(call), end.body, "connection failure: ${end.connectionFailure}")
    }

    /** An engine stand-in derives its answer from the request alone, so any stand-in returns the expected bytes. */
    private fun expected(call: Call): String = deployment.expectedAnswer(call.request)

    private fun runs(key: String): Long =
        fleet.services().values.sumOf { address ->
            val byKey =
                Json
                    .parseToJsonElement(
                        fleet.get(address, "/admin/runs"),
                    ).jsonObject
                    .getValue("by_key")
                    .jsonObject
            byKey[key]?.jsonPrimitive?.long ?: 0L
        }

    private companion object {
        const val HTTP_OK = 200
        const val HTTP_CREATED = 201
        const val HTTP_CONFLICT = 409
        const val HTTP_REFUSED_CONTENT = 422
        const val HTTP_UNAVAILABLE = 503
        const val NEW_NUMBER = 1_000_000
        const val ERROR_EVENT = "event: error"
    }
}
