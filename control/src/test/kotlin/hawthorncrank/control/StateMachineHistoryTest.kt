package hawthorncrank.control

import hawthorncrank.protocol.CallOutcome
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class StateMachineHistoryTest {
    private val histories = Integer.getInteger("hawthorncrank.histories", 300)

    @Test
    fun `concurrent operators and claimants never violate a guarantee`() {
        val seen = HashMap<String, Int>()
        for (seed in 1L..histories) {
            val history = ControlHistory(seed, STEPS).run()
            assertEquals(emptyList(), violations(history), "seed $seed")
            history.forEach { seen.merge(kind(it), 1, Int::plus) }
        }
        println("state machine histories: $histories of $STEPS steps, seeds 1..$histories, $seen")
        EXPECTED_KINDS.forEach { assertTrue((seen[it] ?: 0) >= histories, "$it occurs ${seen[it]} times only") }
    }

    @Test
    fun `a snapshot at any point leads to the same state`() {
        for (seed in 1L..histories / 3) {
            val uninterrupted = ControlHistory(seed, STEPS).also { it.run() }.finalState()
            val restoreAt = Random(seed).nextInt(STEPS)
            val restored = ControlHistory(seed, STEPS, restoreAt).also { it.run() }.finalState()
            assertEquals(uninterrupted, restored, "seed $seed, restored at $restoreAt")
            assertContentEquals(ControlCodec.encode(uninterrupted), ControlCodec.encode(restored), "seed $seed")
        }
    }

    @Test
    fun `the checks detect every mechanism that is switched off`() {
        FAULTS.forEach { (name, fault) ->
            val detectingSeed =
                (1L..histories.coerceAtMost(100)).firstOrNull {
                    violations(ControlHistory(it, STEPS, fault = fault).run()).isNotEmpty()
                }
            println("without \"$name\": first detected with seed $detectingSeed")
            assertTrue(detectingSeed != null, "no check detects a state machine without: $name")
        }
    }

    private fun kind(step: Step): String =
        when (val result = step.result) {
            is CommandResult.Claimed -> result.decision.javaClass.simpleName
            is CommandResult.Operator -> result.answer.javaClass.simpleName
            is CommandResult.OutcomeRecorded -> if (result.accepted) "OutcomeRecorded" else "OutcomeFenced"
            is CommandResult.ClaimAbandoned -> if (result.accepted) "ClaimAbandoned" else "AbandonRefused"
            CommandResult.Done -> "Done"
        }

    private companion object {
        const val STEPS = 400
        val EXPECTED_KINDS =
            listOf(
                "Granted",
                "HeldByOther",
                "Finished",
                "DigestMismatch",
                "OutcomeUnknown",
                "Unavailable",
                "Accepted",
                "Conflict",
                "Report",
                "Refused",
                "OutcomeRecorded",
                "OutcomeFenced",
                "ClaimAbandoned",
                "AbandonRefused",
            )

        val FAULTS =
            mapOf<String, (ControlState, ControlCommand) -> Pair<ControlState, ControlCommand>>(
                "comparison of the base version" to { state, command ->
                    val operation = command.operation
                    if (operation is ControlOperation.ChangeConfiguration) {
                        val delta = operation.delta.copy(baseVersion = state.version)
                        state to command.copy(operation = operation.copy(delta = delta))
                    } else {
                        state to command
                    }
                },
                "comparison of a plan's base version" to { state, command ->
                    val moved =
                        state.plans.mapValues { (_, it) ->
                            it.copy(plan = it.plan.copy(baseVersion = state.version))
                        }
                    state.copy(plans = state.plans.putAll(moved)) to command
                },
                "status of a confirmed plan" to { state, command ->
                    val open = state.plans.mapValues { (_, it) -> it.copy(status = PlanStatus.PROPOSED) }
                    state.copy(plans = state.plans.putAll(open)) to command
                },
                "stored answers" to { state, command -> state.copy(answers = state.answers.clear()) to command },
                "stored attempts" to { state, command -> state.copy(attempts = state.attempts.clear()) to command },
                "fencing of outcomes" to { state, command ->
                    val operation = command.operation
                    val number =
                        (operation as? ControlOperation.RecordOutcome)?.let {
                            state.claims[it.key]?.claimNumber
                        }
                    if (operation is ControlOperation.RecordOutcome && number != null) {
                        state to command.copy(operation = operation.copy(claimNumber = number))
                    } else {
                        state to command
                    }
                },
                "keeping claims without an outcome regardless of time" to { state, command ->
                    val late =
                        state.claims
                            .filterValues { it.outcome == null && state.clock - it.grantedAt > 600_000 }
                            .keys
                    state.copy(claims = late.fold(state.claims) { claims, key -> claims.remove(key) }) to command
                },
                "retention of finished claims" to { state, command ->
                    val finished = state.claims.filterValues { it.outcome is CallOutcome.Answered }.keys
                    state.copy(claims = finished.fold(state.claims) { claims, key -> claims.remove(key) }) to command
                },
                "keeping the first outcome" to { state, command ->
                    val operation = command.operation
                    val record = (operation as? ControlOperation.RecordOutcome)?.let { state.claims[it.key] }
                    if (operation is ControlOperation.RecordOutcome && record?.claimNumber == operation.claimNumber) {
                        val other = operation.copy(outcome = ControlHistory.answered("other ${command.identifier}"))
                        val open = state.claims.put(operation.key, record.copy(outcome = null))
                        state.copy(claims = open) to command.copy(operation = other)
                    } else {
                        state to command
                    }
                },
            )
    }
}
