package hawthorncrank.intents

/** What an operator asks for, with names resolved against the configuration. */
sealed interface Intent {
    /** Puts the class above all others. [occasion] is free text. */
    data class RaiseClass(
        val occasion: String,
        val className: String,
    ) : Intent

    /** Puts the class into the highest tier and doubles its floor until [end]. */
    data class ProtectClass(
        val className: String,
        val end: PlanEnd,
    ) : Intent

    data class LimitOrganisation(
        val organisation: String,
        val requestsPerSecond: Int,
    ) : Intent

    /** Puts the class into the lowest tier. */
    data class SlowClass(
        val className: String,
    ) : Intent

    data class DrainUpstream(
        val upstream: String,
    ) : Intent

    data class UndoPlan(
        val planNumber: Long,
    ) : Intent
}
