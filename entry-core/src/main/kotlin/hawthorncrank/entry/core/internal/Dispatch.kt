package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.EntryEvent
import hawthorncrank.protocol.ControlToEntry

/** Hands an event to the feature that decides on it. */
internal fun Reduction.dispatch(event: EntryEvent) {
    when (event) {
        is EntryEvent.RequestArrived -> requestArrived(event.request)
        is EntryEvent.CallerLeft -> callerLeft(event.requestNumber)
        is EntryEvent.AnswerDelivered -> answerDelivered(event.requestNumber)
        is EntryEvent.AttemptFirstByte -> attemptFirstByte(event.attemptNumber)
        is EntryEvent.AttemptEnded -> attemptEnded(event.attemptNumber, event.end)
        is EntryEvent.MembershipReported -> membershipReported(event.live, event.leaving)
        is EntryEvent.ControlMessageReceived -> controlMessageReceived(event.message)
        EntryEvent.StopRequested -> stopRequested()
        else -> Unit
    }
    terminateWhenEmpty()
}

private fun Reduction.controlMessageReceived(message: ControlToEntry) {
    if (message is ControlToEntry.ConfigurationUpdate && message.confirmed) {
        applyConfiguration(message.version, message.configuration)
    }
}
