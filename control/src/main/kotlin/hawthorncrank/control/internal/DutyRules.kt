package hawthorncrank.control.internal

import hawthorncrank.control.Duty

/**
 * The settings of the duties. A holder writes a call at most [contactLimit] after its last contact with a majority, and
 * the call ends at most [callLimit] later. A later holder was elected after that contact and waits a full [lease], so a
 * margin of five twelfths of the lease remains between the calls of two holders.
 */
internal data class DutyRules(
    val machine: String,
    val duties: Set<Duty>,
    val callsPerSecond: Double,
    val lease: Long,
    val checksFencing: Boolean = false,
    val contactLimit: Long = lease / CONTACT_SHARE,
    val callLimit: Long = minOf(LONGEST_CALL_MILLISECONDS, lease / CALL_SHARE),
) {
    companion object {
        const val CONTACT_SHARE = 4
        private const val CALL_SHARE = 3
        private const val LONGEST_CALL_MILLISECONDS = 1_000L
    }
}
