package hawthorncrank.scheduling.internal

import hawthorncrank.protocol.TrafficClass
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

/** A class with its queue bounds, its floor in use and the tokens served to each of its organisations. */
internal data class ClassState(
    val settings: TrafficClass,
    val requests: Int = 0,
    val bytes: Long = 0,
    val floorInUse: Int = 0,
    val virtualTime: Double = 0.0,
    val accounts: PersistentMap<String, Account> = persistentHashMapOf(),
) {
    /** How long after its arrival a request of this class is due; it orders the classes of a tier. */
    val dueAfter: Long
        get() = (settings.firstToken ?: settings.finishBy)?.value ?: WITHOUT_TARGET_MILLISECONDS

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
        const val WITHOUT_TARGET_MILLISECONDS = 60_000L
    }
}

/**
 * Tokens served to an organisation in a class, divided by its weight, with the estimate for what it has in flight. An
 * organisation that had nothing queued rejoins at the class's virtual time, so that idle time earns no credit.
 */
internal data class Account(
    val virtualTime: Double,
    val lastStart: Long = 0,
    val queued: Int = 0,
    val active: Int = 0,
)
