package hawthorncrank.control.internal

import hawthorncrank.entry.core.AttemptEnd
import hawthorncrank.entry.core.CallerRequest
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.EntryEvent
import hawthorncrank.entry.core.RequestTarget
import hawthorncrank.entry.core.RetryPolicy
import hawthorncrank.entry.core.entryReducer
import hawthorncrank.entry.core.initialEntryState
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.ListedUpstream
import hawthorncrank.protocol.Organisation
import hawthorncrank.protocol.RouteService
import hawthorncrank.protocol.TrafficClass

/**
 * An entry with clocks of its own that sends usage counts to replicas of [group]. [wallStep] moves its time of day,
 * [silent] stops what it sends and receives without closing its link.
 */
internal class UsageEntry(
    private val group: VirtualGroup,
    private val number: Int,
    private var replica: String,
) {
    private val name = "entry-$number"
    private var starts = 0L
    private var link = number * LINKS
    private var reducer = entryReducer(settings())
    private var state = initialEntryState(settings())
    private var received = 0
    private var requests = 0L
    private var stopped = 0L
    var wallStep = 0L
    var silent = false

    // Each machine counts from another origin, and its clock stops while it is suspended.
    private val now get() = group.now + number * 1_000_003L - stopped

    fun start() {
        starts++
        reducer = entryReducer(settings())
        state = initialEntryState(settings())
        open(replica)
        send(EntryEvent.ControlMessageReceived(ControlToEntry.ConfigurationUpdate(1, CONFIGURATION, true)))
        val engines = List(3) { ListedUpstream("e$it", "model", "e$it:1", "zone", slots = 64, leaving = false) }
        send(EntryEvent.UpstreamsListed(engines))
    }

    /** Closes the link and opens one to [next]. What the old replica has received remains there. */
    fun open(next: String) {
        group.deliver(replica, ControlEvent.LinkClosed(link))
        send(EntryEvent.ControlLinkClosed)
        replica = next
        link++
        received = 0
        silent = false
        send(EntryEvent.ControlLinkOpened)
    }

    fun suspended(milliseconds: Long) {
        stopped += milliseconds
        send(EntryEvent.MachineSuspended(milliseconds))
    }

    fun tick() {
        send(EntryEvent.Tick)
    }

    private fun send(event: EntryEvent): List<EntryEffect> {
        val transition = reducer.reduce(state, event, now)
        state = transition.state
        transition.effects.forEach(::carryOut)
        if (event !is EntryEvent.ControlMessageReceived) receive()
        return transition.effects
    }

    /**
     * Runs a request of [organisation] and returns whether an engine began it. Its first attempt breaks after its first
     * event if [retried]. A request that waits for an engine never begins.
     */
    fun run(
        organisation: String,
        retried: Boolean,
    ): Boolean {
        val first = started(EntryEvent.RequestArrived(request(organisation))) ?: return false
        send(EntryEvent.AttemptFirstByte(first))
        val last = if (retried) started(EntryEvent.AttemptEnded(first, AttemptEnd.Broken(1, 10))) else first
        if (last == null) return true
        send(EntryEvent.AttemptFirstByte(last))
        send(EntryEvent.AttemptEnded(last, AttemptEnd.Completed(200, 10, 100, null)))
        send(EntryEvent.AnswerDelivered(requests))
        return true
    }

    private fun started(event: EntryEvent): Long? =
        send(event).filterIsInstance<EntryEffect.StartAttempt>().lastOrNull()?.attemptNumber

    private fun receive() {
        if (silent) return
        val messages = group.sent(replica, link)
        val fresh = messages.drop(received).filterIsInstance<ControlToEntry>()
        received = messages.size
        fresh.forEach { send(EntryEvent.ControlMessageReceived(it)) }
    }

    private fun carryOut(effect: EntryEffect) {
        if (effect is EntryEffect.ProbeUpstream) send(EntryEvent.ProbeAnswered(effect.upstream, reachable = true))
        if (effect !is EntryEffect.SendToControl || silent) return
        val message = effect.message
        val wallTime = group.now + VirtualGroup.WALL_OFFSET + wallStep
        val stamped = if (message is EntryToControl.UsageCounts) message.copy(wallTime = wallTime) else message
        group.entry(replica, link, stamped, name)
    }

    private fun settings() = virtualEntrySettings(name, randomSeed = number * LINKS + starts)

    private fun request(organisation: String) =
        CallerRequest(
            ++requests,
            organisation,
            "drafts",
            RequestTarget.Model("model", 100, 10, emptyList(), 0),
            "content-$requests",
            100,
            streamed = true,
            finishBy = now + 12_000,
            identifier = "attempt-$requests",
            retryPolicy = RetryPolicy(idempotent = true, resumable = true, maximumAttempts = 2),
            routeTier = 1,
        )

    companion object {
        private const val LINKS = 1_000L
        val ORGANISATIONS = listOf("lumen", "aisle", "ops")
        private val CONFIGURATION =
            Configuration(
                classes = listOf(TrafficClass("drafts", 1)),
                organisations = ORGANISATIONS.map { Organisation(it, "region", listOf("drafts"), emptyList()) },
                routeServices = listOf(RouteService("model", servesModels = true)),
            )
    }
}
