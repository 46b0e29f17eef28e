package hawthorncrank.routing

import hawthorncrank.common.Milliseconds
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.TrafficClass
import hawthorncrank.scheduling.CapacityKind
import hawthorncrank.scheduling.QueuedWork
import hawthorncrank.scheduling.WorkTarget
import java.util.PriorityQueue
import java.util.SplittableRandom
import kotlin.math.ln

/** Replays a load in virtual time on entries that do not see each other's requests. */
internal class PromptLoadRun(
    private val load: PromptLoad,
    private val seed: Long,
) {
    private val random = SplittableRandom(seed)
    private val source = StreamSource(load, random)
    private val engines = load.upstreams.associate { it.name to SimulatedBatchEngine(load.engines) }
    private val routers = MutableList(load.entries) { router(it) }
    private val events = PriorityQueue<Pair<Double, () -> Unit>>(compareBy { it.first })
    private val stepping = HashSet<String>()
    private val started = HashMap<Long, String>()
    private val progressAt = HashMap<Long, Double>()
    private val measured = ArrayList<SimulatedStream>()
    private var now = 0.0

    /** Returns the share of streams of each class that were on time. The first seconds, in which entries learn, count. */
    fun onTime(): Map<String, Double> {
        load.kinds.forEach { scheduleArrival(it, number = 1) }
        while (events.isNotEmpty() && events.peek().first < DURATION + LAST_ANSWERS) {
            val (at, action) = events.poll()
            now = at
            action()
        }
        return load.kinds.associate { kind ->
            val ofKind = measured.filter { it.kind.name == kind.name }
            kind.name to ofKind.count { it.onTime } / ofKind.size.toDouble()
        }
    }

    private fun scheduleArrival(
        kind: StreamKind,
        number: Long,
    ) {
        val wait = -ln(1 - random.nextDouble()) / kind.perSecond * 1_000
        events += (now + wait) to {
            if (now < DURATION) {
                scheduleArrival(kind, number + 1)
                arrive(kind, number)
            }
        }
    }

    private fun arrive(
        kind: StreamKind,
        number: Long,
    ) {
        val entry = random.nextInt(routers.size)
        val stream = source.draw(kind, number, entry, now)
        measured += stream
        place(stream)
    }

    private fun place(stream: SimulatedStream) {
        val work = work(stream)
        val question = RoutingQuestion(work, 1, CapacityKind.SHARED)
        when (val answer = routers[stream.entry].place(question, now.toLong())) {
            is RoutingAnswer.Chosen -> {
                val attempt = RoutedAttempt(stream.number, answer.upstream, work, 1, CapacityKind.SHARED)
                routers[stream.entry] = answer.router.attemptStarted(attempt, now.toLong())
                started[stream.number] = answer.upstream
                val delay = load.delayTo(answer.upstream, stream.entry)
                events += (now + delay) to {
                    engines.getValue(answer.upstream).submit(stream)
                    step(answer.upstream)
                }
            }
            else -> events += (now + RETRY_INTERVAL) to { place(stream) }
        }
    }

    private fun step(name: String) {
        val engine = engines.getValue(name)
        if (engine.idle || !stepping.add(name)) return
        val step = engine.step(now)
        events += (now + step.milliseconds) to {
            stepping -= name
            step.events.forEach { eventReceived(it) }
            step.ended.forEach { routers[it.entry] = routers[it.entry].attemptEnded(it.number) }
            step(name)
        }
    }

    private fun eventReceived(stream: SimulatedStream) {
        val router = routers[stream.entry]
        val produced = stream.tokens / load.engines.tokensPerEvent
        if (produced == 1) {
            val delay = load.delayTo(started.getValue(stream.number), stream.entry)
            stream.firstEventAfter = stream.firstEventAfter?.plus(delay)
            progressAt[stream.number] = now
            routers[stream.entry] = router.firstTokenReceived(stream.number, (now + delay).toLong())
        } else if (now - progressAt.getValue(stream.number) >= PROGRESS_INTERVAL) {
            progressAt[stream.number] = now
            routers[stream.entry] = router.attemptProgress(stream.number, produced, now.toLong())
        }
    }

    private fun router(entry: Int) =
        load.router(
            Configuration(
                classes =
                    load.kinds.flatMap { kind ->
                        listOf(kind.name, rareClass(kind)).map {
                            TrafficClass(it, 1, Milliseconds(kind.firstEvent), Milliseconds(kind.pause))
                        }
                    } + TrafficClass("calls of plain services", 1, Milliseconds(200)),
                upstreams = load.upstreams,
            ),
            entry,
            seed + entry,
        )

    private fun rareClass(kind: StreamKind) = "${kind.name} of a rare tier"

    private fun work(stream: SimulatedStream) =
        QueuedWork(
            stream.number,
            "organisation",
            if (stream.ofRareTier) rareClass(stream.kind) else stream.kind.name,
            1,
            WorkTarget.Model("model"),
            arrival = now.toLong(),
            finishBy = null,
            promptTokens = stream.kind.sharedTokens + stream.kind.ownTokens,
            maximumTokens = stream.kind.events * load.engines.tokensPerEvent,
            bodyBytes = 100,
            prefixBlocks = listOf(stream.part, -stream.number),
            idempotent = true,
            sharedTokens = stream.kind.sharedTokens,
        )

    private companion object {
        const val DURATION = 40_000.0
        const val LAST_ANSWERS = 10_000.0
        const val RETRY_INTERVAL = 20.0
        const val PROGRESS_INTERVAL = 250.0
    }
}
