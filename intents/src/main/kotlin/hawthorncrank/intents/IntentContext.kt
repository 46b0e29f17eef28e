package hawthorncrank.intents

import hawthorncrank.protocol.Configuration

/** What an intent is read against. [confirmedPlans] are those in force, which alone can be undone. */
data class IntentContext(
    val version: Long,
    val configuration: Configuration,
    val drains: Set<String> = emptySet(),
    val confirmedPlans: Map<Long, Plan> = emptyMap(),
    val wallTime: Long = 0,
    val offsetMinutes: Int = 0,
)
