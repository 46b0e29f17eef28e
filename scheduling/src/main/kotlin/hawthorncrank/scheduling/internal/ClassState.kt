package hawthorncrank.scheduling.internal

import hawthorncrank.protocol.TrafficClass
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

/** A traffic class with its queue bounds, the floor slots in use and the tokens served to each of its organisations. */
internal data class ClassState(
    val settings: TrafficClass,
    val requests: Int = 0,
    val bytes: Long = 0,
    val floorInUse: Int = 0,
    val virtualTime: Double = 0.0,
    val accounts: PersistentMap<String, Account> = persistentHashMapOf(),
) {
    /** Milliseconds from the arrival of a request until it is due. The due time orders the classes of a tier. */
    val dueAfter: Long
        get() = (settings.firstToken ?: settings.finishBy)?.value ?: DUE_WITHOUT_TARGET_MILLISECONDS

    val floorFree: Boolean
        get() = floorInUse < maxOf(1, settings.floorSlots)

    fun account(organisation: String): Account = accounts[organisation] ?: Account(virtualTime)

    fun put(
        organisation: String,
        account: Account,
    ): ClassState {
        val forgettable = account.active == 0 && account.virtualTime <= virtualTime
        return copy(accounts = if (forgettable) accounts.remove(organisation) else accounts.put(organisation, account))
    }

    private companion object {
        const val DUE_WITHOUT_TARGET_MILLISECONDS = 60_000L
    }
}

/**
 * What an organisation has used of a class. [virtualTime] is the number of tokens served, including the estimate for
 * its requests in flight, divided by its weight. An organisation that had nothing queued resumes at the class's virtual
 * time or later, so that idle time earns no credit. [active] counts its requests that are queued or in flight.
 */
internal data class Account(
    val virtualTime: Double,
    val lastStart: Long = 0,
    val queued: Int = 0,
    val active: Int = 0,
)
