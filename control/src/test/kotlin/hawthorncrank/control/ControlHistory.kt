package hawthorncrank.control

import com.github.michaelbull.result.get
import hawthorncrank.intents.IntentContext
import hawthorncrank.intents.planFor
import hawthorncrank.protocol.CallOutcome
import hawthorncrank.protocol.ClaimDecision
import hawthorncrank.protocol.ClaimKey
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.ConfigurationDelta
import hawthorncrank.protocol.NamedChanges
import hawthorncrank.protocol.OperatorAnswer
import hawthorncrank.protocol.Organisation
import hawthorncrank.protocol.TrafficClass
import hawthorncrank.protocol.Upstream
import hawthorncrank.protocol.UpstreamKind
import hawthorncrank.protocol.canonical
import kotlin.random.Random

/** One command of a generated history with the states around it and its result. */
data class Step(
    val command: ControlCommand,
    val before: ControlState,
    val after: ControlState,
    val result: CommandResult,
)

/**
 * Generates one history: operators that propose on stale versions, claimants that dispatch, record, abandon and
 * disappear, and a network that repeats and reorders commands. [fault] may change the state and the command before they
 * reach the state machine. Before step [restoreAt] the state is replaced by its decoded snapshot.
 */
class ControlHistory(
    private val seed: Long,
    private val steps: Int,
    private val restoreAt: Int = -1,
    private val fault: (
        ControlState,
        ControlCommand,
    ) -> Pair<ControlState, ControlCommand> = { state, command -> state to command },
) {
    private val random = Random(seed)
    private val sent = ArrayList<ControlCommand>()
    private val history = ArrayList<Step>()
    private val granted = ArrayList<Granted>()
    private var time = 0L
    private var serial = 0
    private var index = 1L
    private var state = ControlState(configuration = initial, version = 1)

    private class Granted(
        val key: ClaimKey,
        val number: Long,
        val attempt: String,
        val entry: String,
    )

    fun run(): List<Step> {
        listOf("e0", "e1", "e2").forEach { apply(command(it, ControlOperation.EntryLinked(it, "r0", fresh = true))) }
        repeat(steps) { step ->
            if (step == restoreAt) state = ControlCodec.decodeState(ControlCodec.encode(state))
            time += random.nextLong(if (random.nextInt(50) == 0) 30L * 60 * 60 * 1_000 else 2_000)
            act()
        }
        return history
    }

    fun finalState(): ControlState = state

    private fun act() {
        when (random.nextInt(12)) {
            0, 1 -> operatorCommand()
            2, 3, 4 -> claim()
            5, 6, 7 -> endClaim()
            8, 9, 10 -> resend()
            else -> entryEvent()
        }
    }

    private fun operatorCommand() {
        val operator = "operator${random.nextInt(3)}"
        val baseVersion = state.version - random.nextInt(2)
        val upstream = initial.upstreams.random(random).name
        val operation =
            when (random.nextInt(11)) {
                0, 1 -> change(baseVersion)
                8 -> plan() ?: return
                9 -> ControlOperation.ConfirmPlan(state.nextPlanNumber - 1 - random.nextInt(3))
                10 -> ControlOperation.ReturnPlan(state.nextPlanNumber - 1 - random.nextInt(3))
                2 -> ControlOperation.Drain(upstream, random.nextBoolean())
                3, 4, 5 -> ControlOperation.ResolveClaim(keys.random(random), random.nextBoolean())
                6 -> ControlOperation.Convict("digest", random.nextInt(4))
                else -> ControlOperation.LiftConviction("digest")
            }
        post(command(operator, operation))
    }

    private fun plan(): ControlOperation.RecordPlan? {
        val confirmed = state.plans.filterValues { it.status == PlanStatus.CONFIRMED }.mapValues { it.value.plan }
        val context = IntentContext(state.version, state.configuration, state.drains.keys, confirmed, wallTime = time)
        val undo = confirmed.keys.randomOrNull(random)?.let { "undo $it" }
        val sentences =
            listOfNotNull("now: slow first", "protect quick for 2 h", "slow quick down", "drain engine1", undo)
        return planFor(sentences.random(random), context).get()?.let(ControlOperation::RecordPlan)
    }

    private fun change(base: Long) =
        ControlOperation.ChangeConfiguration(
            "reason",
            ConfigurationDelta(
                base,
                base + 1,
                classes = NamedChanges(listOf(TrafficClass("quick", tier = 1 + random.nextInt(6)))),
            ),
        )

    private fun claim() {
        val operation = ControlOperation.Claim(keys.random(random), "digest${if (random.nextInt(8) == 0) 1 else 0}")
        post(command("e${random.nextInt(3)}", operation))
    }

    /** A holder either never dispatches and abandons, or dispatches and records how the call ended. */
    private fun endClaim() {
        if (granted.isEmpty()) return
        val claim = granted.removeAt(random.nextInt(granted.size))
        val operation =
            when (random.nextInt(5)) {
                0 -> ControlOperation.AbandonClaim(claim.key, claim.attempt)
                1 -> ControlOperation.RecordOutcome(claim.key, claim.number, CallOutcome.Unknown)
                2 -> {
                    if (random.nextBoolean()) granted += claim
                    return
                }
                else -> ControlOperation.RecordOutcome(claim.key, claim.number, answered("${claim.number}"))
            }
        post(command(claim.entry, operation))
        if (random.nextInt(6) == 0) post(command(claim.entry, ControlOperation.AbandonClaim(claim.key, claim.attempt)))
    }

    private fun entryEvent() {
        val entry = "e${random.nextInt(3)}"
        when (random.nextInt(3)) {
            0 -> apply(command(entry, ControlOperation.EntryLost(entry, "r0")))
            1 -> apply(command(entry, ControlOperation.EntryLinked(entry, "r0", fresh = random.nextBoolean())))
            else -> abandonUnanswered(entry)
        }
    }

    /** An entry that got no answer abandons an attempt whose claim may still arrive. */
    private fun abandonUnanswered(entry: String) {
        val claim = command(entry, ControlOperation.Claim(keys.random(random), "digest0"))
        val key = (claim.operation as ControlOperation.Claim).key
        sent += claim
        apply(command(entry, ControlOperation.AbandonClaim(key, claim.identifier)))
    }

    private fun post(command: ControlCommand) {
        sent += command
        if (random.nextInt(4) != 0) apply(command)
    }

    private fun resend() {
        if (sent.isNotEmpty()) apply(sent[random.nextInt(maxOf(0, sent.size - RECENT), sent.size)])
    }

    private fun command(
        by: String,
        operation: ControlOperation,
    ) = ControlCommand("$seed-${serial++}", by, time, time, operation)

    private fun apply(command: ControlCommand) {
        val (from, changed) = fault(state, command)
        val applied = applyCommand(from, changed, FencingNumber(1, index++))
        history += Step(command, state, applied.state, applied.result)
        state = applied.state
        val result = applied.result as? CommandResult.Claimed ?: return
        val decision = result.decision as? ClaimDecision.Granted ?: return
        if (granted.none { it.attempt == result.attemptIdentifier }) {
            granted += Granted(result.key, decision.claimNumber, result.attemptIdentifier, command.by)
        }
    }

    companion object {
        private const val RECENT = 40
        val keys = List(3) { ClaimKey("organisation", "key$it") }

        fun answered(body: String) =
            CallOutcome.Answered(200, "text/plain", body.encodeToByteArray(), bodyDigest = body)

        val initial =
            Configuration(
                classes = listOf(TrafficClass("quick", tier = 1), TrafficClass("slow", tier = 3)),
                organisations = listOf(Organisation("organisation", "south", listOf("quick"), emptyList())),
                upstreams =
                    listOf(
                        Upstream("engine1", UpstreamKind.ENGINE, "127.0.0.1:1", "a", "south", models = listOf("m")),
                        Upstream("engine2", UpstreamKind.ENGINE, "127.0.0.1:2", "a", "south", models = listOf("m")),
                    ),
            ).canonical()
    }
}

/** The answer to an operator's command in this step, if it has one. */
fun Step.operatorAnswer(): OperatorAnswer? = (result as? CommandResult.Operator)?.answer
