package hawthorncrank.intents

import hawthorncrank.protocol.Configuration

/**
 * The state against which an intent is interpreted. [confirmedPlans] are the plans in force; only they can be undone.
 */
data class IntentContext(
    val version: Long,
    val configuration: Configuration,
    val drains: Set<String> = emptySet(),
    val confirmedPlans: Map<Long, Plan> = emptyMap(),
    val wallTime: Long = 0,
    val offsetMinutes: Int = 0,
)
