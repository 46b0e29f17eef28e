package hawthorncrank.control.internal

import hawthorncrank.entry.core.AttemptEnd
import hawthorncrank.entry.core.CallerRequest
import hawthorncrank.entry.core.EntryBehaviour
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.EntryEvent
import hawthorncrank.entry.core.EntrySettings
import hawthorncrank.entry.core.RequestTarget
import hawthorncrank.entry.core.RetryPolicy
import hawthorncrank.entry.core.entryReducer
import hawthorncrank.entry.core.initialEntryState
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.ListedUpstream

/** An entry in virtual time that links to the next of [replicas] after the present one has closed its link. */
internal class VirtualEntry(
    private val group: VirtualGroup,
    private val replicas: List<String>,
    confirmationLifetime: Long?,
) {
    private val settings =
        EntrySettings(
            NAME,
            "zone",
            "region",
            listOf(NAME),
            randomSeed = 7,
            regions = mapOf("zone" to "region"),
            behaviour = EntryBehaviour(confirmationLifetime = confirmationLifetime),
        )
    private val reducer = entryReducer(settings)
    private var state = initialEntryState(settings)
    private var links = 0
    private var received = 0
    private var linkAt: Long? = null
    private var appliedVersion = 0L
    private var requests = 0L

    private val link get() = FIRST_LINK + links
    private val replica get() = replicas[links % replicas.size]

    init {
        send(EntryEvent.ControlLinkOpened)
        send(
            EntryEvent.UpstreamsListed(
                listOf(ListedUpstream("engine", "model", "engine:1", "zone", slots = 64, leaving = false)),
            ),
        )
    }

    fun run(milliseconds: Long) {
        repeat((milliseconds / TICK).toInt()) {
            group.run(TICK)
            updateLink()
            receive()
            send(EntryEvent.Tick)
        }
    }

    /** Sends a request and returns the version by which it is handled, or null if it is refused. */
    fun versionInUse(): Long? {
        val effects = send(EntryEvent.RequestArrived(request(++requests)))
        val attempt = effects.filterIsInstance<EntryEffect.StartAttempt>().singleOrNull() ?: return null
        send(EntryEvent.AttemptFirstByte(attempt.attemptNumber))
        send(EntryEvent.AttemptEnded(attempt.attemptNumber, AttemptEnd.Completed(200, 10, 100, null)))
        send(EntryEvent.AnswerDelivered(attempt.requestNumber))
        return appliedVersion
    }

    private fun updateLink() {
        val due = linkAt
        if (due == null && link in group.closedLinks) {
            group.deliver(replica, ControlEvent.LinkClosed(link))
            send(EntryEvent.ControlLinkClosed)
            linkAt = group.now + RECONNECTION_MILLISECONDS
        } else if (due != null && group.now >= due) {
            linkAt = null
            links++
            received = 0
            send(EntryEvent.ControlLinkOpened)
        }
    }

    private fun receive() {
        val messages = group.sent(replica, link)
        messages.drop(received).filterIsInstance<ControlToEntry>().forEach {
            send(EntryEvent.ControlMessageReceived(it))
        }
        received = messages.size
    }

    private fun send(event: EntryEvent): List<EntryEffect> {
        val transition = reducer.reduce(state, event, group.now)
        state = transition.state
        transition.effects.forEach {
            if (it is EntryEffect.SendToControl && linkAt == null) group.entry(replica, link, it.message, NAME)
            if (it is EntryEffect.ConfigurationApplied) appliedVersion = it.version
        }
        return transition.effects
    }

    private fun request(number: Long) =
        CallerRequest(
            number,
            "lumen",
            "drafts",
            RequestTarget.Model("model", 100, 10, emptyList(), 0),
            "content-$number",
            100,
            streamed = true,
            finishBy = group.now + 12_000,
            identifier = "attempt-$number",
            retryPolicy = RetryPolicy(idempotent = true, resumable = true, maximumAttempts = 2),
            routeTier = 1,
            sharedParts = emptyList(),
        )

    private companion object {
        const val NAME = "entry-1"
        const val FIRST_LINK = 100L
        const val TICK = 100L

        // The shortest pause between two links plus the handshake.
        const val RECONNECTION_MILLISECONDS = 200L
    }
}
