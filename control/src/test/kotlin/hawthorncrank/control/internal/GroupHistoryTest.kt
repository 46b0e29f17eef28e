package hawthorncrank.control.internal

import hawthorncrank.control.ControlHistory
import hawthorncrank.protocol.CallOutcome
import hawthorncrank.protocol.ClaimDecision
import hawthorncrank.protocol.ClaimKey
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.OperatorAnswer
import hawthorncrank.protocol.OperatorCommand
import hawthorncrank.protocol.OperatorRequest
import hawthorncrank.protocol.OperatorResponse
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Three replicas in virtual time, of which some are cut off from the network at random: entries claim and operators
 * propose through any replica, and resend earlier commands through any replica.
 */
class GroupHistoryTest {
    private val histories = Integer.getInteger("hawthorncrank.histories", 20).coerceAtMost(1_000)

    @Test
    fun `with replicas cut off, no key is granted to two attempts and no base has two accepted proposals`() {
        val totals = HashMap<String, Int>()
        for (seed in 1L..histories) {
            val history = History(seed)
            history.run()
            assertEquals(emptyList(), history.violations(), "seed $seed")
            history.counts.forEach { (kind, count) -> totals.merge(kind, count, Int::plus) }
        }
        println("group histories: $histories, seeds 1..$histories, $totals")
        listOf("cuts", "granted", "accepted", "conflicts").forEach {
            assertTrue((totals[it] ?: 0) > histories, "$it in $totals")
        }
    }

    private class History(
        seed: Long,
    ) {
        private val random = Random(seed)
        private val group = VirtualGroup(3)
        private val names = List(3) { "control-${it + 1}" }
        private val proposals = HashMap<String, OperatorCommand.ProposeConfiguration>()
        private val numbers = HashMap<Long, String>()
        private val claims = ArrayList<EntryToControl.ClaimRequest>()
        private var nextNumber = 0L
        val counts = HashMap<String, Int>()

        fun run() {
            group.execute(group.leader(), OperatorCommand.ProposeConfiguration(0, "first", "", ControlHistory.initial))
            names.forEachIndexed { index, name -> group.entry(name, index + 1L, EntryToControl.EntryHello("", "a", 1)) }
            repeat(150) {
                act()
                group.run(random.nextLong(100, 800))
            }
            group.heal()
            group.run(10_000)
        }

        private fun act() {
            when (random.nextInt(8)) {
                0 -> {
                    group.cut(names.random(random))
                    counts.merge("cuts", 1, Int::plus)
                }
                1, 2 -> group.heal()
                3 -> propose()
                4 -> proposals.values.randomOrNull(random)?.let(::send)
                5, 6 -> claim()
                else ->
                    claims
                        .randomOrNull(
                            random,
                        )?.let { group.entry(names.random(random), 1 + random.nextLong(3), it) }
            }
            if (random.nextInt(3) == 0) recordOutcome()
        }

        private fun propose() {
            val base = group.states().maxOf { it.control.version } - random.nextLong(2)
            val tier = 2 + random.nextInt(4)
            val classes = ControlHistory.initial.classes.map { if (it.name == "slow") it.copy(tier = tier) else it }
            val organisations = ControlHistory.initial.organisations.map { it.copy(weight = 1 + nextNumber.toInt()) }
            val next = ControlHistory.initial.copy(classes = classes, organisations = organisations)
            val command = OperatorCommand.ProposeConfiguration(base, "proposal-${nextNumber++}", "", next)
            proposals[command.commandIdentifier] = command
            send(command)
        }

        private fun send(command: OperatorCommand.ProposeConfiguration) {
            val number = nextNumber++
            numbers[number] = command.commandIdentifier
            val request = OperatorRequest(number, "operator", "", command)
            val event = ControlEvent.OperatorMessage(VirtualGroup.OPERATOR_LINK, request.number, "operator", command)
            group.deliver(names.random(random), event)
        }

        private fun claim() {
            val key = ClaimKey("organisation", "key${random.nextInt(8)}")
            val request = EntryToControl.ClaimRequest(key, "digest", "attempt-${nextNumber++}", "")
            claims += request
            group.entry(names.random(random), 1 + random.nextLong(3), request)
        }

        private fun recordOutcome() {
            val (answer, decision) = granted().randomOrNull(random) ?: return
            val outcome =
                if (random.nextInt(3) ==
                    0
                ) {
                    CallOutcome.Unknown
                } else {
                    ControlHistory.answered("${decision.claimNumber}")
                }
            val record = EntryToControl.OutcomeRecord(answer.key, decision.claimNumber, outcome)
            group.entry(names.random(random), 1 + random.nextLong(3), record)
        }

        private fun answers() =
            names
                .flatMap { name ->
                    (1L..3L).flatMap { group.sent(name, it) }
                }.filterIsInstance<ControlToEntry.ClaimAnswer>()

        private fun granted() =
            answers().mapNotNull { answer -> (answer.decision as? ClaimDecision.Granted)?.let { answer to it } }

        fun violations(): List<String> {
            val holders = granted().groupBy { it.first.key }
            counts["granted"] = holders.size
            val grantedTwice =
                holders
                    .filterValues { grants ->
                        grants.map { it.first.attemptIdentifier to it.second.claimNumber }.distinct().size >
                            1
                    }.map { "${it.key} is granted to several attempts: ${it.value}" }
            val states = group.states().map { it.control }
            val differing =
                if (states.distinct().size >
                    1
                ) {
                    listOf("replicas differ after the network healed")
                } else {
                    emptyList()
                }
            return grantedTwice + differing + proposalViolations() + names.flatMap(::decreasingVersions)
        }

        private fun proposalViolations(): List<String> {
            val responses =
                names
                    .flatMap {
                        group.sent(
                            it,
                            VirtualGroup.OPERATOR_LINK,
                        )
                    }.filterIsInstance<OperatorResponse>()
            val final =
                responses
                    .filter { it.answer is OperatorAnswer.Accepted || it.answer is OperatorAnswer.Conflict }
                    .mapNotNull { response -> numbers[response.number]?.let { it to response.answer } }
                    .distinct()
            val accepted = final.filter { it.second is OperatorAnswer.Accepted }.map { it.first }
            counts["accepted"] = accepted.size
            counts["conflicts"] = final.size - accepted.size
            val ambiguous = final.groupBy { it.first }.filterValues { it.size > 1 }.map { "${it.key} got ${it.value}" }
            val sharedBases = accepted.groupBy { proposals.getValue(it).baseVersion }.filterValues { it.size > 1 }
            return ambiguous + sharedBases.map { "base ${it.key} has accepted proposals ${it.value}" }
        }

        /**
         * The versions sent on a link, confirmed or not, must never decrease. A version is confirmed only by a read from
         * the leader.
         */
        private fun decreasingVersions(name: String): List<String> =
            (1L..3L).flatMap { link ->
                val versions =
                    group.sent(name, link).mapNotNull {
                        when (it) {
                            is ControlToEntry.ConfigurationUpdate -> it.version
                            is ControlToEntry.ConfigurationChange -> it.delta.version
                            else -> null
                        }
                    }
                if (versions ==
                    versions.sorted()
                ) {
                    emptyList()
                } else {
                    listOf("$name sends link $link the versions $versions")
                }
            }
    }
}
