package hawthorncrank.control.internal

import hawthorncrank.control.DutyAnswer
import hawthorncrank.control.EngineGroup
import kotlin.random.Random

/** A platform that checks the rules for calls of one holder at a time. It never tells what it has received. */
internal class DutyPlatform(
    private val lease: Long,
    private val callsPerSecond: Int,
    private val random: Random,
) {
    val violations = ArrayList<String>()
    val reports = HashMap<Long, Map<String, Long>>()
    val ordered = HashMap<EngineGroup, Int>()
    val arrivals = ArrayList<Arrival>()
    private val sent = ArrayList<Long>()
    var disrupted = false

    class Arrival(
        val at: Long,
        val machine: String,
        val call: DutyCall,
    )

    fun sent(now: Long) {
        sent += now
        val recent = sent.takeLast(callsPerSecond + 1).count { now - it < 1_000 }
        if (recent > callsPerSecond) violations += "$recent calls in the second before $now"
    }

    /** Null is no answer. */
    fun receive(
        now: Long,
        machine: String,
        call: DutyCall,
    ): DutyAnswer? {
        check(now, machine, call)
        arrivals += Arrival(now, machine, call)
        val answer = if (disrupted) disruptedAnswer() else accepted(call)
        if (answer == DutyAnswer.Accepted) accept(call)
        return answer.takeUnless { disrupted && random.nextInt(3) == 0 }
    }

    private fun disruptedAnswer() =
        when (random.nextInt(4)) {
            0 -> DutyAnswer.Refused(503)
            1 -> DutyAnswer.RateLimited
            else -> DutyAnswer.Accepted
        }

    private fun accepted(call: DutyCall) =
        if (call is DutyCall.Engines && random.nextInt(4) == 0) DutyAnswer.NoneAvailable else DutyAnswer.Accepted

    private fun accept(call: DutyCall) {
        when (call) {
            is DutyCall.Engines -> ordered[call.content.group] = call.content.count
            is DutyCall.Usage -> {
                val former = reports.put(call.content.window, call.content.counts) ?: return
                if (former != call.content.counts) violations += "window ${call.content.window} has two contents"
            }
        }
    }

    private fun check(
        now: Long,
        machine: String,
        call: DutyCall,
    ) {
        val earlier = arrivals.filter { it.call.subject == call.subject }
        if (earlier.any { it.call.token > call.token }) {
            violations +=
                "$machine sends the lower token ${call.token} at $now"
        }
        if (earlier.any { it.call.token == call.token && it.machine != machine }) {
            violations += "two holders send ${call.token}"
        }
        val recent = arrivals.filter { now - it.at <= lease }
        val other = recent.indexOfLast { it.machine != machine }
        if (recent.take(other + 1).any { it.machine == machine }) violations += "$machine, another, $machine until $now"
        // Stricter than the platform's rule, so that a history shows a missing safeguard sooner.
        if (other >= 0 && now - recent[other].at < lease / 3) violations += "two holders call within a third of a lease"
    }
}
