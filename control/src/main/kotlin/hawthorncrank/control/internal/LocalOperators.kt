package hawthorncrank.control.internal

import hawthorncrank.protocol.OperatorAnswer
import hawthorncrank.protocol.OperatorCommand
import hawthorncrank.protocol.OperatorResponse
import hawthorncrank.protocol.WireMessage
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/**
 * Operator commands from within the process. They are handled like commands from a link, under a link number that no
 * link has.
 */
internal class LocalOperators(
    private val send: (ControlEvent) -> Unit,
) {
    private val lastCommandNumber = AtomicLong()
    private val pendingAnswers = ConcurrentHashMap<Long, (OperatorAnswer) -> Unit>()

    fun execute(
        operator: String,
        command: OperatorCommand,
        answer: (OperatorAnswer) -> Unit,
    ) {
        val number = lastCommandNumber.incrementAndGet()
        pendingAnswers[number] = answer
        send(ControlEvent.OperatorMessage(LINK, number, operator, command))
    }

    fun deliverAnswer(message: WireMessage) {
        if (message is OperatorResponse) pendingAnswers.remove(message.number)?.invoke(message.answer)
    }

    companion object {
        const val LINK = 0L
    }
}
