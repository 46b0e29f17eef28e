package hawthorncrank.control.internal

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * What this process does as the holder under [token], which is 0 while it does not hold the duties. [waited] is how long it
 * has held them, at most the lease; [countedAt] is when that was last added to. [allowance] is the number of calls that
 * the rate allows now, in thousandths, as of [allowanceAt]. [refusals] holds the windows whose reports were refused.
 * [resigned] is set when the process is about to stop, and never reset.
 */
internal data class DutyWork(
    val token: Long = 0,
    val waited: Long = 0,
    val countedAt: Long = 0,
    val allowance: Long = 0,
    val allowanceAt: Long = 0,
    val attempts: PersistentMap<DutySubject, DutyAttempt> = persistentMapOf(),
    val refusals: PersistentMap<Long, DutyAttempt> = persistentMapOf(),
    val resigned: Boolean = false,
)

/** The calls about one subject: the one in flight, when the newest began, and the failures since the last answer. */
internal data class DutyAttempt(
    val inFlight: DutyCall? = null,
    val startedAt: Long = Long.MIN_VALUE,
    val failures: Int = 0,
    val retryAt: Long = Long.MIN_VALUE,
)
