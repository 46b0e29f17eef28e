package hawthorncrank.operator.internal

import hawthorncrank.common.EventLog
import hawthorncrank.common.MillisecondClock
import hawthorncrank.protocol.OperatorAnswer
import hawthorncrank.protocol.OperatorCommand

/**
 * Sends a command to the control group. If a replica does not answer, or refuses for a reason that applies to this
 * replica only, the next replica gets the command under the same command identifier. All attempts together take at most
 * 10 s.
 */
internal class ControlSession(
    private val addresses: List<String>,
    private val replicaCall: ReplicaCall,
    private val clock: MillisecondClock,
    private val log: EventLog,
    private val pause: (Long) -> Unit = Thread::sleep,
) {
    /** Asks one replica after another until one gives a final answer. */
    fun ask(command: OperatorCommand): OperatorAnswer {
        val deadline = clock.now() + TOTAL_MILLISECONDS
        var lastRefusal: OperatorAnswer.Refused? = null
        var mayBeCommitted = false
        var attempt = 0
        while (clock.now() < deadline) {
            val address = addresses[attempt % addresses.size]
            if (attempt > 0 && attempt % addresses.size == 0) {
                if (deadline - clock.now() <= ROUND_PAUSE_MILLISECONDS) break
                pause(ROUND_PAUSE_MILLISECONDS)
            }
            if (attempt++ > 0) log.record(OperatorEventCode.COMMAND_RESENT, "address" to address)
            val remaining = deadline - clock.now()
            when (val answer = callReplica(address, command, minOf(remaining, CALL_MILLISECONDS))) {
                null, is OperatorAnswer.Uncertain -> mayBeCommitted = true
                is OperatorAnswer.Refused -> if (answer.elsewhere) lastRefusal = answer else return answer
                else -> return answer
            }
        }
        if (mayBeCommitted) return OperatorAnswer.Uncertain(UNCERTAIN_REMEDY)
        return lastRefusal ?: OperatorAnswer.Refused("no control replica answers", NO_ANSWER_REMEDY)
    }

    /** Asks every replica once; the answer is null for a replica that does not answer. */
    fun askEach(command: OperatorCommand): List<Pair<String, OperatorAnswer?>> {
        val share = TOTAL_MILLISECONDS / addresses.size
        return addresses.map { it to callReplica(it, command, minOf(share, CALL_MILLISECONDS)) }
    }

    private fun callReplica(
        address: String,
        command: OperatorCommand,
        milliseconds: Long,
    ): OperatorAnswer? {
        log.record(OperatorEventCode.COMMAND_SENT, "address" to address, "command" to command.javaClass.simpleName)
        val answer = replicaCall.call(address, command, milliseconds)
        if (answer == null) log.record(OperatorEventCode.REPLICA_SILENT, "address" to address)
        return answer
    }

    private companion object {
        const val TOTAL_MILLISECONDS = 10_000L

        // Leaves time to ask a second and a third replica; an available leader answers in well under a second.
        const val CALL_MILLISECONDS = 3_300L
        const val ROUND_PAUSE_MILLISECONDS = 300L
        const val UNCERTAIN_REMEDY = "resend it with the same --identifier to get the answer to the first attempt"
        const val NO_ANSWER_REMEDY = "check the addresses under \"control\" in the settings, and that the replicas run"
    }
}
