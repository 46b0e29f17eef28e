package hawthorncrank.entry.core

import hawthorncrank.entry.core.internal.EntryRules
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.ZoneMessage

/**
 * One run of an entry process: the reducer, simulated traffic threads that execute its effects, and its links. Reports
 * of the traffic threads reach the reducer with a short delay, as they do between real threads.
 */
internal class EntryNode(
    private val simulation: Simulation,
    private val fleet: Fleet,
    val name: String,
    rules: EntryRules,
) {
    private val settings = EntrySettings(name, "zone", "region", fleet.zoneEntries, simulation.random.nextLong())
    private val reducer = entryReducer(settings, rules)
    var state = initialEntryState(settings)
        private set
    var alive = true
        private set
    val submissions = mutableMapOf<Long, Submission>()
    private val exchanges = mutableMapOf<Long, Exchange>()
    private val delivered = mutableMapOf<Long, Long>()
    private val undelivered = mutableSetOf<Long>()
    private val withheldAnswers = mutableMapOf<Long, Chunk>()
    private var nextRequest = 1L
    private var linked = false
    private var blockedSince = Long.MIN_VALUE / 2
    private var lastMessageAt = 0L
    private var lastReportAt = 0L

    fun begin() {
        simulation.every(100, { alive }) { send(EntryEvent.Tick) }
        simulation.every(250, { alive }) { checkLink() }
        simulation.every(
            1_000,
            { alive },
        ) { send(EntryEvent.MembershipReported(fleet.live(), fleet.leaving.keys.toSet())) }
    }

    fun send(event: EntryEvent) {
        if (!alive) return
        if (event is EntryEvent.RequestArrived) undelivered.remove(event.request.number)
        val transition = reducer.reduce(state, event, simulation.now)
        state = transition.state
        transition.effects.forEach { if (alive) execute(it) }
    }

    /** Traffic threads report in order, with a delay of up to 5 ms. */
    private fun report(event: EntryEvent) {
        lastReportAt = maxOf(lastReportAt, simulation.now + simulation.between(0, 5))
        simulation.after(lastReportAt - simulation.now) { send(event) }
    }

    fun submit(caller: Caller): Submission {
        val number = nextRequest++
        val submission = Submission(caller, this, number)
        submissions[number] = submission
        undelivered.add(number)
        caller.submissions.add(submission)
        fleet.submissions.add(submission)
        report(EntryEvent.RequestArrived(caller.request(number)))
        return submission
    }

    fun callerDisconnects(submission: Submission) {
        if (submission.closed) return
        submission.callerLeft = true
        report(EntryEvent.CallerLeft(submission.number))
    }

    private fun execute(effect: EntryEffect) {
        when (effect) {
            is EntryEffect.StartAttempt -> startAttempt(effect)
            is EntryEffect.CancelAttempt -> {
                if (effect.reason == CancelReason.PREEMPTED) fleet.preempted++
                exchanges[effect.attemptNumber]?.let { fleet.upstream(it.start.upstream).cancel(it) }
            }
            is EntryEffect.ReleaseAnswer -> releaseAnswer(effect.requestNumber)
            is EntryEffect.RefuseCaller -> submissions[effect.requestNumber]?.finish(Final.Refused(effect.refusal))
            is EntryEffect.ReplayAnswer ->
                submissions[effect.requestNumber]?.finish(
                    Final.Replayed(effect.body?.decodeToString()),
                )
            is EntryEffect.AbortStream ->
                submissions[effect.requestNumber]?.takeIf { !it.closed }?.finish(
                    Final.BrokenStream,
                )
            is EntryEffect.SendToControl -> toControl(effect.message)
            is EntryEffect.SendToZone -> toZone(effect.message, effect.recipient)
            is EntryEffect.ProbeUpstream ->
                simulation.after(30) {
                    val upstream = fleet.upstream(effect.upstream)
                    send(EntryEvent.ProbeAnswered(effect.upstream, !upstream.down && !upstream.hanging))
                }
            is EntryEffect.ConfigurationApplied -> fleet.applied.getOrPut(name) { mutableListOf() }.add(effect.version)
            EntryEffect.Terminate -> terminated()
            else -> Unit
        }
    }

    private fun startAttempt(start: EntryEffect.StartAttempt) {
        val submission = submissions.getValue(start.requestNumber)
        val exchange = Exchange(this, start, submission, simulation.now)
        exchanges[start.attemptNumber] = exchange
        val begun = submission.chunks.isNotEmpty() && start.resume == null
        // The contract of StartAttempt: if the caller has bytes of another attempt, this one is not sent.
        if (begun &&
            fleet.trafficRejectsRestarts
        ) {
            return exchangeEnded(exchange.also { it.closed = true }, AttemptEnd.Cancelled(0))
        }
        submission.answeringAttempt = start.attemptNumber
        if (start.resume != null) fleet.resumed++
        fleet.starts.add(start.upstream to simulation.now)
        simulation.after(simulation.between(1, 20)) {
            if (alive && !exchange.closed) fleet.upstream(start.upstream).open(exchange)
        }
    }

    fun receivedChunk(
        exchange: Exchange,
        chunk: Chunk,
    ) {
        if (!alive) return
        val number = exchange.start.attemptNumber
        if (exchange.submission.answeringAttempt != number) return
        if (!exchange.submission.closed) exchange.submission.chunks.add(chunk)
        val count = delivered.merge(number, 1, Long::plus) ?: 1
        report(
            if (count ==
                1L
            ) {
                EntryEvent.AttemptFirstByte(number)
            } else {
                EntryEvent.AttemptProgress(number, count.toInt(), count)
            },
        )
    }

    fun deliveredBy(attemptNumber: Long): Long = delivered[attemptNumber] ?: 0

    fun exchangeEnded(
        exchange: Exchange,
        end: AttemptEnd,
    ) {
        if (!alive) return
        val number = exchange.start.attemptNumber
        val submission = exchange.submission
        exchanges.remove(number)
        val execution = exchange.execution
        if (end is AttemptEnd.Completed) {
            if (end.answer != null && execution != null) {
                withheldAnswers[submission.number] = Chunk(execution, 0)
            } else if (submission.answeringAttempt == number && !submission.closed) {
                submission.finish(Final.Complete)
                simulation.after(5) { report(EntryEvent.AnswerDelivered(submission.number)) }
            }
        }
        report(EntryEvent.AttemptEnded(number, end))
    }

    private fun releaseAnswer(requestNumber: Long) {
        val submission = submissions.getValue(requestNumber)
        val answer = withheldAnswers.remove(requestNumber)
        submission.chunks.add(answer ?: error("no answer is withheld for request $requestNumber"))
        submission.finish(Final.Complete)
        simulation.after(5) { report(EntryEvent.AnswerDelivered(requestNumber)) }
    }

    private fun checkLink() {
        val blocked = fleet.blocked(name, CONTROL) || fleet.blocked(CONTROL, name)
        if (blocked && blockedSince < 0) blockedSince = simulation.now
        if (!blocked) blockedSince = Long.MIN_VALUE / 2
        if (linked && blocked && simulation.now - blockedSince >= LINK_TIMEOUT_MILLISECONDS) {
            linked = false
            send(EntryEvent.ControlLinkClosed)
        } else if (!linked && !blocked) {
            linked = true
            lastMessageAt = 0
            send(EntryEvent.ControlLinkOpened)
            fleet.control.linkOpened(this)
        }
    }

    private fun toControl(message: EntryToControl) {
        if (!linked || fleet.blocked(name, CONTROL)) return
        // Some messages are delayed. A link keeps their order, but a new link may overtake the old one.
        val delay = if (simulation.chance(2)) simulation.between(1_000, 6_000) else simulation.between(1, 40)
        lastMessageAt = maxOf(lastMessageAt, simulation.now + delay)
        simulation.after(lastMessageAt - simulation.now) { fleet.control.receive(this, message) }
    }

    fun fromControl(message: ControlToEntry) {
        if (!linked || fleet.blocked(CONTROL, name)) return
        simulation.after(simulation.between(1, 40)) {
            if (!fleet.blocked(CONTROL, name)) send(EntryEvent.ControlMessageReceived(message))
        }
    }

    private fun toZone(
        message: ZoneMessage,
        recipient: String?,
    ) {
        fleet.entries.filter { it.name != name && (recipient == null || it.name == recipient) }.forEach { peer ->
            if (!fleet.blocked(name, peer.name)) {
                simulation.after(simulation.between(1, 10)) { peer.send(EntryEvent.ZoneMessageReceived(message)) }
            }
        }
    }

    fun kill() {
        alive = false
        exchanges.values.forEach { it.closed = true }
        submissions.values.filterNot { it.closed }.forEach { it.entryKilled = true }
    }

    private fun terminated() {
        // The contract of Terminate: the process refuses requests that it has not passed to the reducer.
        undelivered.forEach { submissions.getValue(it).finish(Final.Refused(Refusal.Stopping)) }
        submissions.values.filterNot { it.closed }.forEach {
            fleet.violations.add("a graceful stop of $name cut off request ${it.number}")
        }
        alive = false
        fleet.restart(this)
    }
}

internal const val CONTROL = "control"
private const val LINK_TIMEOUT_MILLISECONDS = 4_000L
