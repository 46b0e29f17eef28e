package hawthorncrank.endtoend

import reactor.core.publisher.Mono
import reactor.util.retry.Retry
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import kotlin.test.assertEquals

/** The processes of one sample deployment: three entries, three control replicas and the emulators. */
class Fleet(
    private val deployment: String,
) : AutoCloseable {
    private val samples = SampleFolder(deployment)
    private val client = HttpClient.newHttpClient()
    private val programs: Map<String, Program> =
        ZONES
            .flatMap { zone ->
                listOf("control", "emulator", "entry").map { kind ->
                    val name = "$kind-$zone"
                    name to Program(name, "hawthorncrank-$kind", listOf("--settings", "$name.toml"), samples.path)
                }
            }.toMap()

    fun start() {
        programs.filterKeys { !it.startsWith("entry") }.values.forEach(Program::start)
        ZONES.forEach { awaitStatus(samples.address("control-$it.toml", "http_address"), "/healthz", HTTP_OK) }
        runOperator("form")
        runOperator("configuration", "propose", "configuration.toml", "--base", "0", "--reason", "first configuration")
        ZONES.forEach { programs.getValue("entry-$it").start() }
        ZONES.forEach { awaitReady("entry-$it") }
    }

    fun program(name: String): Program = programs.getValue(name)

    fun entry(number: Int): URI = URI("http://" + samples.address("entry-$number.toml", "http_address"))

    val entries: List<URI>
        get() = ZONES.map(::entry)

    fun engines(): Map<String, String> = samples.upstreams(if (deployment == "caroni") "assistant" else "lettering")

    fun services(): Map<String, String> = samples.upstreams(if (deployment == "caroni") "bookings" else "orders")

    fun awaitReady(entry: String) =
        awaitStatus(samples.address("$entry.toml", "operations_address"), "/readyz", HTTP_OK, entry)

    fun awaitNotReady(entry: String) =
        awaitStatus(samples.address("$entry.toml", "operations_address"), "/readyz", HTTP_UNAVAILABLE, entry)

    /** Runs the operators' command line and returns the end of its output. */
    fun runOperator(
        vararg arguments: String,
        expectedExit: Int = 0,
    ): String {
        val name = "operator-${arguments.joinToString("-") { it.filter(Char::isLetterOrDigit).take(12) }}"
        val operator = Program(name, "hawthorncrank", listOf("--settings", "operator.toml") + arguments, samples.path)
        operator.start()
        assertEquals(expectedExit, operator.awaitExit(), operator.log() + controlLogs())
        return operator.log()
    }

    /**
     * Proposes the sample configuration with [weight] for its first organisation. The command exits with 0 if the
     * change is accepted.
     */
    fun proposeWeight(
        weight: Int,
        base: Int,
        expectedExit: Int,
    ): String {
        val changed = "changed-$weight.toml"
        samples.rewrite("configuration.toml", changed) { it.replaceFirst(Regex("weight = \\d+"), "weight = $weight") }
        val arguments = arrayOf("configuration", "propose", changed, "--base", "$base", "--reason", "a higher weight")
        return runOperator(*arguments, expectedExit = expectedExit)
    }

    /** The version of the configuration in force, according to the entry's metrics. */
    fun versionAt(entry: String): Int? {
        val metrics = get(samples.address("$entry.toml", "operations_address"), "/metrics")
        val gauge = Regex("""(?m)^hawthorncrank_configuration_version(?:\{[^}]*})? ([0-9.]+)$""").find(metrics)
        return gauge
            ?.groupValues
            ?.get(1)
            ?.toDouble()
            ?.toInt()
    }

    /** Sends a fault injection request to an engine stand-in. */
    fun injectFault(
        engine: String,
        fault: String,
    ) {
        val address = URI("http://${engines().getValue(engine)}/admin/faults")
        val request = HttpRequest.newBuilder(address).POST(HttpRequest.BodyPublishers.ofString(fault)).build()
        assertEquals(HTTP_OK, client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode())
    }

    fun get(
        address: String,
        path: String,
    ): String = client.send(request(address, path), HttpResponse.BodyHandlers.ofString()).body()

    /** Polls on a timer until the path returns [status], and fails the test if it does not within the allowed polls. */
    private fun awaitStatus(
        address: String,
        path: String,
        status: Int,
        program: String? = null,
    ) {
        Mono
            .fromCallable { client.send(request(address, path), HttpResponse.BodyHandlers.ofString()) }
            .filter { it.statusCode() == status }
            .switchIfEmpty(Mono.error(IOException("$address$path has not reached status $status")))
            .retryWhen(Retry.fixedDelay(MAXIMUM_POLLS, Duration.ofMillis(POLL_MILLISECONDS)))
            .doOnError { println(program?.let { programs.getValue(it).log() }.orEmpty() + controlLogs()) }
            .block()
    }

    private fun controlLogs(): String = ZONES.joinToString("\n") { "control-$it: " + program("control-$it").log() }

    private fun request(
        address: String,
        path: String,
    ) = HttpRequest.newBuilder(URI("http://$address$path")).timeout(Duration.ofSeconds(5)).build()

    override fun close() = programs.values.forEach(Program::kill)

    private companion object {
        val ZONES = 1..3
        const val HTTP_OK = 200
        const val HTTP_UNAVAILABLE = 503
        const val MAXIMUM_POLLS = 300L
        const val POLL_MILLISECONDS = 100L
    }
}
