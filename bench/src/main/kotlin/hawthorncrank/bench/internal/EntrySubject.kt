package hawthorncrank.bench.internal

import hawthorncrank.entry.core.AttemptEnd
import hawthorncrank.entry.core.CallerRequest
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.EntryEvent
import hawthorncrank.entry.core.EntrySettings
import hawthorncrank.entry.core.LoadReport
import hawthorncrank.entry.core.RequestTarget
import hawthorncrank.entry.core.entryReducer
import hawthorncrank.entry.core.initialEntryState
import hawthorncrank.protocol.ControlToEntry

/** The product's entry reducer with an active configuration, driven by the events of an entry's control thread. */
internal class EntrySubject(
    private val engines: Int,
    organisations: Int,
) {
    private val settings = EntrySettings("entry-1", "zone", "region", List(33) { "entry-${it + 1}" }, randomSeed = 1)
    private val reducer = entryReducer(settings)
    private val organisationCount = organisations
    private var now = 1_000_000L
    private var number = 0L
    var state = initialEntryState(settings)
        private set

    init {
        val configuration = slopeConfiguration(engines, organisations)
        val permitted = configuration.classes.map { it.name }
        val complete =
            configuration.copy(organisations = configuration.organisations.map { it.copy(classes = permitted) })
        reduce(EntryEvent.ControlLinkOpened)
        reduce(EntryEvent.ControlMessageReceived(ControlToEntry.ConfigurationUpdate(1, complete, confirmed = true)))
        reduce(EntryEvent.MembershipReported(complete.upstreams.map { it.name }.toSet(), emptySet()))
        now += STARTUP_MILLISECONDS
        reduce(EntryEvent.Tick)
    }

    /** Processes one request from arrival to the delivered answer, with [PROGRESS_REPORTS] reports of its stream. */
    fun request() {
        number++
        val target = RequestTarget.Model("model", 400, 600, listOf(number % 64, number))
        val organisation = "organisation-${number % organisationCount}"
        val request = CallerRequest(number, organisation, "tier-1", target, "digest-$number", 2_000, true, null)
        val start = reduce(EntryEvent.RequestArrived(request)).filterIsInstance<EntryEffect.StartAttempt>().single()
        reduce(EntryEvent.AttemptFirstByte(start.attemptNumber))
        repeat(PROGRESS_REPORTS) { reduce(EntryEvent.AttemptProgress(start.attemptNumber, it * 10, it * 2_000L)) }
        val end = AttemptEnd.Completed(200, PROGRESS_REPORTS * 10, PROGRESS_REPORTS * 2_000L, answer = null)
        reduce(EntryEvent.AttemptEnded(start.attemptNumber, end))
        reduce(EntryEvent.AnswerDelivered(number))
    }

    fun tick() {
        reduce(EntryEvent.Tick)
    }

    fun loadReport() {
        number++
        val report = LoadReport(number, running = 20, queued = 0, slots = 64, tokenIntervalMilliseconds = 30.0)
        reduce(EntryEvent.LoadReported("engine-${number % engines}", report))
    }

    private fun reduce(event: EntryEvent): List<EntryEffect> {
        now += 1
        val transition = reducer.reduce(state, event, now)
        state = transition.state
        return transition.effects
    }

    companion object {
        /**
         * 4 reports a second for about 20 s, the time that a mean answer of 442 tokens takes (530,000 tokens a second
         * over 1,200 requests a second).
         */
        const val PROGRESS_REPORTS = 80
        private const val STARTUP_MILLISECONDS = 5_000L
    }
}
