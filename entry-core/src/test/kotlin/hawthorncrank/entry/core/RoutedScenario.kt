package hawthorncrank.entry.core

import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EngineScaling
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.ListedUpstream
import hawthorncrank.protocol.RouteService
import hawthorncrank.protocol.TrafficClass
import hawthorncrank.routing.ChoiceRule
import hawthorncrank.routing.RoutingPolicy
import hawthorncrank.scheduling.SchedulingPolicy

/**
 * A test script for one entry with routes. Its upstreams come from the platform's list, and its configuration needs
 * confirmation.
 */
internal class RoutedScenario(
    listed: List<ListedUpstream> =
        listOf(listedEngine("e1"), listedEngine("e2"), listedService("s1"), listedService("s2")),
    classes: List<TrafficClass> = sampleConfiguration().classes,
    listFromControl: Boolean = false,
    warmUp: Boolean = false,
    scaling: EngineScaling? = null,
    relayAddress: String? = null,
    separatesSoftware: Boolean = false,
) {
    private val settings =
        EntrySettings(
            "a",
            "zone",
            "region",
            listOf("a"),
            randomSeed = 7,
            regions = mapOf("zone" to "region"),
            behaviour =
                EntryBehaviour(
                    confirmationLifetime = CONFIRMATION_LIFETIME,
                    acceptAfterStop = 3_000,
                    stopTime = 8_000,
                    brokenConnectionIsCrash = false,
                    connectFailuresToExclude = 1,
                    listFromControl = listFromControl,
                    warmUp = warmUp,
                    separatesSoftware = separatesSoftware,
                    scheduling = SchedulingPolicy(preemption = false, floor = false),
                    routing = RoutingPolicy(choice = ChoiceRule.LEAST_DELAY, reservesFloors = false),
                ),
            relayAddress = relayAddress,
        )
    private val reducer = entryReducer(settings)
    private var state = initialEntryState(settings)
    var now = 1_000_000L
    val slowdowns: Map<String, Double> get() = state.router.view.slowdowns
    val configuration =
        sampleConfiguration().copy(
            upstreams = emptyList(),
            classes = classes,
            routeServices = listOf(RouteService("model", servesModels = true, scaling), RouteService("orders")),
        )

    init {
        send(EntryEvent.ControlLinkOpened)
        control(ControlToEntry.ConfigurationUpdate(5, configuration, confirmed = true))
        control(ControlToEntry.ConfigurationConfirmed(now, 5))
        send(EntryEvent.UpstreamsListed(listed))
    }

    fun send(event: EntryEvent): List<EntryEffect> {
        val transition = reducer.reduce(state, event, now)
        state = transition.state
        return transition.effects
    }

    fun control(message: ControlToEntry) = send(EntryEvent.ControlMessageReceived(message))

    /** Advances time in ticks while control confirms the configuration whenever it is asked. */
    fun pass(milliseconds: Long): List<EntryEffect> =
        (1..milliseconds / 100).flatMap {
            now += 100
            val effects = send(EntryEvent.Tick)
            effects + effects.toControl<EntryToControl.ConfirmConfiguration>().flatMap(::confirm)
        }

    /** Advances time in ticks without any answer from control. */
    fun passUnconfirmed(milliseconds: Long): List<EntryEffect> =
        (1..milliseconds / 100).flatMap {
            now += 100
            send(EntryEvent.Tick)
        }

    private fun confirm(question: EntryToControl.ConfirmConfiguration) =
        control(ControlToEntry.ConfigurationConfirmed(question.question, 5))

    fun call(
        number: Long,
        policy: RetryPolicy,
        service: String = "orders",
        finishBy: Long? = now + 10_000,
    ): List<EntryEffect> {
        val target = RequestTarget.Service(service, policy.idempotent, idempotencyKey = null)
        return arrive(number, target, policy, streamed = false, finishBy)
    }

    fun stream(
        number: Long,
        policy: RetryPolicy,
        finishBy: Long? = now + 10_000,
        sharedParts: List<String> = emptyList(),
        promptTokens: Int = 20,
        className: String = "quick",
        relayed: Boolean = false,
        resumption: StreamResumption? = null,
    ): List<EntryEffect> {
        val target = RequestTarget.Model("model", promptTokens, 20, emptyList())
        return arrive(number, target, policy, streamed = true, finishBy, sharedParts, className, relayed, resumption)
    }

    private fun arrive(
        number: Long,
        target: RequestTarget,
        policy: RetryPolicy,
        streamed: Boolean,
        finishBy: Long?,
        sharedParts: List<String> = emptyList(),
        className: String = "quick",
        relayed: Boolean = false,
        resumption: StreamResumption? = null,
    ): List<EntryEffect> {
        val request =
            CallerRequest(
                number,
                "lumen",
                className,
                target,
                "content-$number",
                100,
                streamed,
                finishBy,
                identifier = "attempt-$number",
                retryPolicy = policy,
                sharedParts = sharedParts,
                relayed = relayed,
                resumption = resumption,
            )
        return send(EntryEvent.RequestArrived(request))
    }

    fun end(
        attemptNumber: Long,
        end: AttemptEnd,
    ) = send(EntryEvent.AttemptEnded(attemptNumber, end))

    companion object {
        const val CONFIRMATION_LIFETIME = 4_500L
        val IDEMPOTENT = RetryPolicy(idempotent = true, resumable = false, maximumAttempts = 2)
        val AT_MOST_ONCE = RetryPolicy(idempotent = false, resumable = false, maximumAttempts = 1)
        val RESUMABLE = RetryPolicy(idempotent = true, resumable = true, maximumAttempts = 2)
    }
}

internal fun listedEngine(
    name: String,
    leaving: Boolean = false,
    software: String? = null,
) = ListedUpstream(name, "model", "127.0.0.1:1", "zone", slots = 6, leaving, software = software)

internal fun listedService(
    name: String,
    leaving: Boolean = false,
) = ListedUpstream(name, "orders", "127.0.0.1:2", "zone", slots = 6, leaving)
