package hawthorncrank.control.internal

import hawthorncrank.control.Duty
import hawthorncrank.control.DutyAnswer
import hawthorncrank.control.EngineCountCall
import hawthorncrank.control.UsageCall

/** One call to the platform under the holder's [token]. */
internal sealed interface DutyCall {
    val duty: Duty
    val token: Long
    val subject: DutySubject

    data class Usage(
        override val token: Long,
        val content: UsageCall,
    ) : DutyCall {
        override val duty get() = Duty.USAGE_REPORT
        override val subject get() = DutySubject.Usage
    }

    /** [number] identifies the stored order. */
    data class Engines(
        override val token: Long,
        val content: EngineCountCall,
        val number: Long,
    ) : DutyCall {
        override val duty get() = Duty.AUTOSCALE
        override val subject get() = DutySubject.Engines(content.group.service, content.group.availabilityZone)
    }
}

/** What a call is about. Calls about one subject are made one after another. */
internal sealed interface DutySubject {
    data object Usage : DutySubject

    data class Engines(
        val service: String,
        val availabilityZone: String,
    ) : DutySubject
}

/** How a call ended. */
internal sealed interface DutyResult {
    data class Answered(
        val answer: DutyAnswer,
    ) : DutyResult

    /** The platform may or may not have received the call. */
    data class Unanswered(
        val detail: String,
    ) : DutyResult
}
