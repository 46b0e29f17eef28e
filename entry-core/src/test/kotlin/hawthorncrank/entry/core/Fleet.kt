package hawthorncrank.entry.core

import hawthorncrank.common.Milliseconds
import hawthorncrank.entry.core.internal.EntryRules
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.Organisation
import hawthorncrank.protocol.ServiceRoute
import hawthorncrank.protocol.TrafficClass
import hawthorncrank.protocol.Upstream
import hawthorncrank.protocol.UpstreamKind

/** A call that its caller may submit several times, with the same content and the same key. */
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

/**
 * One submission of a call to one entry, and its results. [entryKilled] is set if the entry was killed before the end.
 */
internal class Submission(
    val caller: Caller,
    val entry: EntryNode,
    val number: Long,
) {
    val chunks = mutableListOf<Chunk>()
    val finals = mutableListOf<Final>()
    var answeringAttempt: Long? = null
    var callerLeft = false
    var entryKilled = false
    val closed: Boolean
        get() = finals.isNotEmpty() || callerLeft || entryKilled

    fun finish(final: Final) {
        if (!callerLeft && !entryKilled) finals.add(final)
    }
}

internal sealed interface Final {
    data class Refused(
        val refusal: Refusal,
    ) : Final

    data class Replayed(
        val body: String?,
    ) : Final

    data object Complete : Final

    data object BrokenStream : Final
}

/** The simulated entries, control group and upstreams of a zone, with the faults that a history injects. */
internal class Fleet(
    val simulation: Simulation,
    private val rules: EntryRules,
    val trafficRejectsRestarts: Boolean,
    val upstreamsRunTwice: Boolean,
) {
    val zoneEntries = listOf("a", "b", "c")
    private val configuration = sampleConfiguration()
    val executions = mutableListOf<Execution>()
    val submissions = mutableListOf<Submission>()

    /** One element for each crash of an engine: the entry that sent the content and the content that caused it. */
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

    /** Drops messages in one direction for a time. The other direction still works unless it is cut too. */
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
        organisations =
            listOf("lumen", "aisle").map {
                Organisation(
                    it,
                    "region",
                    classes.map { each ->
                        each.name
                    },
                    emptyList(),
                )
            },
        upstreams = engines + services,
        services = listOf(ServiceRoute("orders", "/orders", "orders")),
    )
}

internal fun trafficClass(
    name: String,
    tier: Int,
) = TrafficClass(name, tier, firstToken = Milliseconds(1_800))

internal fun engine(
    name: String,
    resumes: Boolean = false,
    slots: Int = 6,
) = Upstream(
    name,
    UpstreamKind.ENGINE,
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
        UpstreamKind.SERVICE,
        "127.0.0.1:2",
        "zone",
        "region",
        service = "orders",
        slots = 6,
    )
