package hawthorncrank.entry.core

import hawthorncrank.protocol.ClaimDecision
import hawthorncrank.protocol.ClaimKey
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.TrafficClass
import hawthorncrank.protocol.Upstream
import hawthorncrank.protocol.ZoneMessage

/** A test script for one entry in virtual time. Each step sends an event and returns its effects. */
internal class Scenario(
    upstreams: List<Upstream> = listOf(engine("e1"), engine("e2"), service("s1")),
    zoneEntries: List<String> = listOf("a"),
    classes: List<TrafficClass> = sampleConfiguration().classes,
    started: Boolean = true,
) {
    private val settings = EntrySettings("a", "zone", "region", zoneEntries, randomSeed = 7)
    private val reducer = entryReducer(settings)
    private var state = initialEntryState(settings)
    var now = 1_000_000L
    val configuration: Configuration = sampleConfiguration().copy(upstreams = upstreams, classes = classes)
    val ready: Boolean
        get() = state.ready
    val requestsInProgress: Int
        get() = state.requestsInProgress

    init {
        if (started) {
            send(EntryEvent.ControlLinkOpened)
            control(ControlToEntry.ConfigurationUpdate(5, configuration, confirmed = true))
            send(EntryEvent.MembershipReported(upstreams.map { it.name }.toSet(), leaving = emptySet()))
        }
    }

    fun send(event: EntryEvent): List<EntryEffect> {
        val transition = reducer.reduce(state, event, now)
        state = transition.state
        return transition.effects
    }

    fun control(message: ControlToEntry) = send(EntryEvent.ControlMessageReceived(message))

    fun zone(message: ZoneMessage) = send(EntryEvent.ZoneMessageReceived(message))

    /** Advances time in ticks and returns the effects of all of them. */
    fun pass(milliseconds: Long): List<EntryEffect> =
        (1..milliseconds / 100).flatMap {
            now += 100
            send(EntryEvent.Tick)
        }

    fun model(
        number: Long,
        digest: String = "prompt-$number",
        className: String = "quick",
        finishBy: Long? = null,
        streamed: Boolean = true,
    ): List<EntryEffect> {
        val target = RequestTarget.Model("model", 20, 20, emptyList())
        val request =
            CallerRequest(number, "lumen", className, target, digest, 100, streamed, finishBy)
        return send(EntryEvent.RequestArrived(request))
    }

    fun order(
        number: Long,
        key: String? = "key",
    ): List<EntryEffect> {
        val target = RequestTarget.Service("orders", idempotent = false, idempotencyKey = key)
        val request = CallerRequest(number, "lumen", "orders", target, "order", 100, streamed = false, finishBy = null)
        return send(EntryEvent.RequestArrived(request))
    }

    /** Submits an order and grants its claim. */
    fun grantedOrder(number: Long): EntryEffect.StartAttempt {
        val asked = order(number).claimRequest()
        return control(answer(asked, ClaimDecision.Granted(41))).start()
    }

    fun answer(
        asked: EntryToControl.ClaimRequest,
        decision: ClaimDecision,
    ) = ControlToEntry.ClaimAnswer(asked.key, asked.attemptIdentifier, decision)

    fun end(
        attemptNumber: Long,
        end: AttemptEnd,
    ) = send(EntryEvent.AttemptEnded(attemptNumber, end))

    companion object {
        val KEY = ClaimKey("lumen", "key")
    }
}

internal inline fun <reified T> List<EntryEffect>.of(): List<T> = filterIsInstance<T>()

internal fun List<EntryEffect>.start() = of<EntryEffect.StartAttempt>().single()

internal fun List<EntryEffect>.starts() = of<EntryEffect.StartAttempt>()

internal fun List<EntryEffect>.refusal() = of<EntryEffect.RefuseCaller>().single().refusal

internal inline fun <reified T : EntryToControl> List<EntryEffect>.toControl(): List<T> =
    of<EntryEffect.SendToControl>().map { it.message }.filterIsInstance<T>()

internal inline fun <reified T : ZoneMessage> List<EntryEffect>.toZone(): List<T> =
    of<EntryEffect.SendToZone>().map { it.message }.filterIsInstance<T>()

internal fun List<EntryEffect>.claimRequest() = toControl<EntryToControl.ClaimRequest>().single()

internal fun List<EntryEffect>.appliedVersions() = of<EntryEffect.ConfigurationApplied>().map { it.version }

internal fun broken(bytes: Long = 0) = AttemptEnd.Broken(tokens = 3, bytes = bytes)

internal fun completed() = AttemptEnd.Completed(200, 10, 100, null)
