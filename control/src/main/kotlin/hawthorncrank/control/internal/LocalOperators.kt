package hawthorncrank.control.internal

import hawthorncrank.protocol.OperatorAnswer
import hawthorncrank.protocol.OperatorCommand
import hawthorncrank.protocol.OperatorResponse
import hawthorncrank.protocol.WireMessage
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Commands of operators that come from within the process. They take the way of a link whose number no link has. */
internal class LocalOperators(
    private val send: (ControlEvent) -> Unit,
) {
    private val numbers = AtomicLong()
    private val waiting = ConcurrentHashMap<Long, (OperatorAnswer) -> Unit>()

    fun execute(
        operator: String,
        command: OperatorCommand,
        answer: (OperatorAnswer) -> Unit,
    ) {
        val number = numbers.incrementAndGet()
        waiting[number] = answer
        send(ControlEvent.OperatorMessage(LINK, number, operator, command))
    }

    fun answered(message: WireMessage) {
        if (message is OperatorResponse) waiting.remove(message.number)?.invoke(message.answer)
    }

    companion object {
        const val LINK = 0L
    }
}
