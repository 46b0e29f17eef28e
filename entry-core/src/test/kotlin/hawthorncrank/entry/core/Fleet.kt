package hawthorncrank.entry.core

import hawthorncrank.entry.core.internal.EntryRules
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.Upstream

/** A caller's call, which it may submit several times: the same content under the same key. */
internal class Caller(
    val organisation: String,
    val className: String,
    val target: RequestTarget,
    val content: String,
    val poison: Boolean = false,
) {
    val submissions = mutableListOf<Submission>()
    var finishBy: Long? = null
    val keyed: Boolean
        get() = (target as? RequestTarget.Service)?.idempotencyKey != null

    fun request(number: Long) =
        CallerRequest(number, organisation, className, target, content, 100, streamed = !keyed, finishBy)
}

/** One submission of a call to one entry, and what came back. [cut] says that the entry died first. */
internal class Submission(
    val caller: Caller,
    val entry: EntryNode,
    val number: Long,
) {
    val chunks = mutableListOf<Chunk>()
    val finals = mutableListOf<Final>()
    var answeringAttempt: Long? = null
    var left = false
    var cut = false
    val closed: Boolean
        get() = finals.isNotEmpty() || left || cut

    fun finish(final: Final) {
        if (!left && !cut) finals.add(final)
    }
}

internal sealed interface Final {
    data class Refused(
        val refusal: Refusal,
    ) : Final

    data class Replayed(
        val body: String?,
    ) : Final

    data object Whole : Final

    data object BrokenStream : Final
}

/** The entries of a zone, their control group and upstreams, with the faults that a history injects. */
internal class Fleet(
    val simulation: Simulation,
    private val rules: EntryRules,
    val zoneEntries: List<String> = listOf("a", "b", "c"),
    configuration: Configuration = sampleConfiguration(),
    val trafficGuards: Boolean = true,
) {
    val executions = mutableListOf<Execution>()
    val submissions = mutableListOf<Submission>()

    /** Each engine that a poisonous content crashed, by the entry that sent it. */
    val engineLosses = mutableListOf<Pair<EntryNode, String>>()

    /** The upstream and the time of every attempt. */
    val starts = mutableListOf<Pair<String, Long>>()
    val applied = mutableMapOf<String, MutableList<Long>>()
    val violations = mutableListOf<String>()
    var preempted = 0
    var resumed = 0

    /** When the platform's list began to mark an upstream as leaving. */
    val leaving = mutableMapOf<String, Long>()
    private val cuts = mutableSetOf<Pair<String, String>>()
    val upstreams = configuration.upstreams.map { FakeUpstream(simulation, this, it.name) }
    val control = FakeControl(simulation, this, configuration)
    val entries = zoneEntries.map { EntryNode(simulation, this, it, rules) }.toMutableList()

    fun begin() = entries.forEach { it.begin() }

    fun upstream(name: String) = upstreams.first { it.name == name }

    fun live(): Set<String> = upstreams.map { it.name }.toSet()

    fun blocked(
        from: String,
        to: String,
    ) = from to to in cuts

    /** Messages from one end to the other are lost for a time; the other direction goes on unless it is cut too. */
    fun cut(
        from: String,
        to: String,
        duration: Long,
    ) {
        cuts.add(from to to)
        simulation.after(duration) { cuts.remove(from to to) }
    }

    fun mark(
        upstream: String,
        duration: Long,
    ) {
        val since = simulation.now
        if (upstream in leaving) return
        leaving[upstream] = since
        simulation.after(duration) {
            leaving.remove(upstream)
            starts.filter { (name, at) -> name == upstream && at in since + 3_000..simulation.now }.forEach { (_, at) ->
                violations.add("$upstream got new work ${at - since} ms after it was marked as leaving")
            }
        }
    }

    fun kill(entry: EntryNode) {
        if (!entry.alive) return
        entry.kill()
        restart(entry)
    }

    fun restart(entry: EntryNode) {
        simulation.after(simulation.between(500, 4_000)) {
            val next = EntryNode(simulation, this, entry.name, rules)
            entries[entries.indexOf(entry)] = next
            next.begin()
        }
    }
}

internal fun sampleConfiguration(): Configuration {
    val classes = listOf(trafficClass("quick", 1), trafficClass("orders", 2), trafficClass("patient", 4))
    val engines = (1..5).map { engine("e$it", resumes = it % 2 == 0, slots = 2) }
    val services = (1..3).map { service("s$it") }
    return Configuration(
        classes = classes,
        organisations = listOf("lumen", "aisle").map { organisation(it, classes.map { each -> each.name }) },
        upstreams = engines + services,
        services = listOf(hawthorncrank.protocol.ServiceRoute("orders", "/orders", "orders")),
    )
}

internal fun trafficClass(
    name: String,
    tier: Int,
) = hawthorncrank.protocol.TrafficClass(name, tier, firstToken = hawthorncrank.common.Milliseconds(1_800))

internal fun organisation(
    name: String,
    classes: List<String>,
) = hawthorncrank.protocol.Organisation(name, "region", classes, emptyList())

internal fun engine(
    name: String,
    resumes: Boolean = false,
    slots: Int = 6,
) = Upstream(
    name,
    hawthorncrank.protocol.UpstreamKind.ENGINE,
    "127.0.0.1:1",
    "zone",
    "region",
    models = listOf("model"),
    slots = slots,
    resumesStreams = resumes,
)

internal fun service(name: String) =
    Upstream(
        name,
        hawthorncrank.protocol.UpstreamKind.SERVICE,
        "127.0.0.1:2",
        "zone",
        "region",
        service = "orders",
        slots = 6,
    )
