package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.CallerRequest
import hawthorncrank.protocol.Configuration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

internal data class RequestsState(
    val active: PersistentMap<Long, ActiveRequest> = persistentMapOf(),
)

internal data class ActiveRequest(
    val request: CallerRequest,
    val arrivedAt: Long,
    val attempt: Long? = null,
    val firstByteAt: Long? = null,
)

internal data class AttemptsState(
    val running: PersistentMap<Long, RunningAttempt> = persistentMapOf(),
    val nextNumber: Long = 1,
)

internal data class RunningAttempt(
    val number: Long,
    val requestNumber: Long,
    val upstream: String,
)

internal data class ConfigurationState(
    val version: Long = 0,
    val configuration: Configuration = Configuration(),
)

internal data class MembershipState(
    val live: PersistentSet<String>? = null,
    val leaving: PersistentSet<String> = persistentSetOf(),
)
