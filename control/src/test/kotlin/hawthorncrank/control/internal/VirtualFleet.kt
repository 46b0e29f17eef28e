package hawthorncrank.control.internal

import hawthorncrank.entry.core.AttemptEnd
import hawthorncrank.entry.core.CallerRequest
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.EntryEvent
import hawthorncrank.entry.core.EntrySettings
import hawthorncrank.entry.core.RequestTarget
import hawthorncrank.entry.core.RetryPolicy
import hawthorncrank.entry.core.entryReducer
import hawthorncrank.entry.core.initialEntryState
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.ListedUpstream
import hawthorncrank.protocol.Organisation
import hawthorncrank.protocol.RouteService
import hawthorncrank.protocol.TrafficClass
import java.util.PriorityQueue
import kotlin.random.Random

/** Entries with routes, three control replicas and engines in virtual time, and the prompts of many callers. */
internal class VirtualFleet(
    entryCount: Int,
    engineCount: Int,
    seed: Long,
    private val isDeadly: (String) -> Boolean = { false },
) {
    private val random = Random(seed)
    private val group = VirtualGroup(REPLICAS)
    private val due = PriorityQueue<Due>(compareBy({ it.at }, { it.order }))
    private var scheduled = 0L
    var now = group.now
        private set
    private var nextRequest = 1L
    val engines = VirtualEngines(engineCount, random, { now }, ::schedule, ::crashes)
    private val entries = List(entryCount) { Entry("entry-$it", LINK + it, "control-${it % REPLICAS + 1}") }
    val prompts = ArrayList<Prompt>()
    val crashes = ArrayList<Long>()

    private class Due(
        val at: Long,
        val order: Long,
        val action: () -> Unit,
    )

    init {
        entries.forEach { it.start() }
        run(1_000)
    }

    fun schedule(
        delay: Long,
        action: () -> Unit,
    ) {
        due += Due(now + delay, scheduled++, action)
    }

    fun run(milliseconds: Long) {
        repeat((milliseconds / TICK).toInt()) {
            val end = now + TICK
            while (due.isNotEmpty() && due.peek().at <= end) {
                val next = due.poll()
                now = next.at
                next.action()
            }
            now = end
            group.run(TICK)
            entries.forEach { it.receive() }
            entries.forEach { it.send(EntryEvent.Tick) }
        }
    }

    /** Sends a prompt to an entry drawn by lot. A caller whose prompt fails sends it once more. */
    fun prompt(
        parts: List<String>,
        repeats: Int = 1,
    ) {
        val number = nextRequest++
        val prompt = Prompt(parts, now, number)
        prompts += prompt
        val entry = entries.random(random)
        prompt.failed = { if (repeats > 0) schedule(REPEAT_MILLISECONDS) { prompt(parts, repeats - 1) } }
        entry.arrive(prompt)
    }

    fun restartEntries() = entries.forEach { it.start() }

    private fun crashes(request: EngineRequest): Boolean {
        val deadly = request.parts.any(isDeadly)
        if (deadly) crashes += now
        return deadly
    }

    private inner class Entry(
        val name: String,
        private val link: Long,
        private val replica: String,
    ) {
        private val settings = virtualEntrySettings(name)
        private val reducer = entryReducer(settings)
        private var state = initialEntryState(settings)
        private var starts = 0
        private var received = 0
        private val active = HashMap<Long, Prompt>()
        private val attempts = HashMap<Long, EngineRequest>()

        fun start() {
            starts++
            state = initialEntryState(settings)
            received = group.sent(replica, link).size
            attempts.values.toList().forEach(engines::cancel)
            attempts.clear()
            active.clear()
            group.deliver(replica, ControlEvent.LinkClosed(link))
            send(EntryEvent.ControlLinkOpened)
            send(EntryEvent.ControlMessageReceived(ControlToEntry.ConfigurationUpdate(1, CONFIGURATION, true)))
            val listed = engines.names.map { ListedUpstream(it, "model", "$it:1", "zone", slots = 64, leaving = false) }
            send(EntryEvent.UpstreamsListed(listed))
        }

        fun arrive(prompt: Prompt) {
            active[prompt.number] = prompt
            send(EntryEvent.RequestArrived(request(prompt)))
        }

        fun receive() {
            val messages = group.sent(replica, link)
            messages.drop(received).filterIsInstance<ControlToEntry>().forEach {
                send(EntryEvent.ControlMessageReceived(it))
            }
            received = messages.size
        }

        fun send(event: EntryEvent) {
            val transition = reducer.reduce(state, event, now)
            state = transition.state
            transition.effects.forEach(::carryOut)
        }

        private fun carryOut(effect: EntryEffect) {
            when (effect) {
                is EntryEffect.StartAttempt -> startAttempt(effect)
                is EntryEffect.CancelAttempt -> attempts.remove(effect.attemptNumber)?.let(engines::cancel)
                is EntryEffect.ProbeUpstream -> probe(effect.upstream)
                is EntryEffect.SendToControl -> group.entry(replica, link, effect.message, name)
                is EntryEffect.RefuseCaller -> end(effect.requestNumber) { it.refusal = effect.refusal.problem }
                is EntryEffect.AbortStream -> end(effect.requestNumber) { }
                else -> Unit
            }
        }

        private fun end(
            requestNumber: Long,
            change: (Prompt) -> Unit,
        ) {
            val prompt = active.remove(requestNumber) ?: return
            change(prompt)
            prompt.failed()
        }

        private fun probe(upstream: String) {
            val start = starts
            schedule(PROBE_MILLISECONDS) {
                if (start == starts) send(EntryEvent.ProbeAnswered(upstream, engines.isUp(upstream)))
            }
        }

        private fun startAttempt(effect: EntryEffect.StartAttempt) {
            val prompt = active[effect.requestNumber] ?: return
            val number = effect.attemptNumber
            val request = EngineRequest(effect.upstream, name, starts, number, prompt.parts)
            if (engines.isUp(effect.upstream)) prompt.reached += now
            attempts[number] = request
            prompt.attempts++
            val start = starts
            val report =
                EngineReport(
                    began = { if (start == starts) began(prompt, number) },
                    ended = { if (start == starts) schedule(1) { ended(prompt, number, start, it) } },
                )
            engines.send(request, report)
        }

        private fun began(
            prompt: Prompt,
            attempt: Long,
        ) {
            if (prompt.beganAtAttempt == null) prompt.beganAtAttempt = prompt.attempts
            send(EntryEvent.AttemptFirstByte(attempt))
        }

        private fun ended(
            prompt: Prompt,
            attempt: Long,
            start: Int,
            end: AttemptEnd,
        ) {
            if (start != starts) return
            attempts.remove(attempt)
            send(EntryEvent.AttemptEnded(attempt, end))
            if (end is AttemptEnd.Completed && active.remove(prompt.number) != null) {
                send(EntryEvent.AnswerDelivered(prompt.number))
            }
        }
    }

    private fun request(prompt: Prompt): CallerRequest {
        val blocks = prompt.parts.runningFold(0L) { digest, part -> digest * DIGEST_FACTOR + part.hashCode() }.drop(1)
        return CallerRequest(
            prompt.number,
            "lumen",
            "drafts",
            RequestTarget.Model("model", PROMPT_TOKENS, 100, blocks, SHARED_TOKENS),
            "content-${prompt.number}",
            100,
            streamed = true,
            finishBy = now + DEADLINE_MILLISECONDS,
            identifier = "attempt-${prompt.number}",
            retryPolicy = RetryPolicy(idempotent = true, resumable = true, maximumAttempts = 2),
            routeTier = 1,
            sharedParts = prompt.parts,
        )
    }

    private companion object {
        const val REPLICAS = 3
        const val LINK = 100L
        const val TICK = 100L
        const val PROBE_MILLISECONDS = 2L
        const val REPEAT_MILLISECONDS = 500L
        const val DEADLINE_MILLISECONDS = 12_000L
        const val PROMPT_TOKENS = 17_000
        const val SHARED_TOKENS = 13_300
        const val DIGEST_FACTOR = 31L
        val CONFIGURATION =
            Configuration(
                classes = listOf(TrafficClass("drafts", 1)),
                organisations = listOf(Organisation("lumen", "region", listOf("drafts"), emptyList())),
                routeServices = listOf(RouteService("model", servesModels = true)),
            )
    }
}

/** One prompt of a caller and what became of it. [reached] are the times at which it was sent to a running engine. */
internal class Prompt(
    val parts: List<String>,
    val arrivedAt: Long,
    val number: Long,
) {
    val reached = ArrayList<Long>()
    var attempts = 0
    var beganAtAttempt: Int? = null
    var refusal: String? = null
    var failed: () -> Unit = {}
}
