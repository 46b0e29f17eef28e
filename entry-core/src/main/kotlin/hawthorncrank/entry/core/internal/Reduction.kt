package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.EntrySettings
import hawthorncrank.entry.core.EntryState
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * One reduction while it runs: the state so far and the effects so far. It lives for a single call of the reducer, so
 * the reducer as a whole stays a pure function. Features are extension functions on it, one file each.
 */
internal class Reduction(
    val before: EntryState,
    val now: Long,
    val settings: EntrySettings,
    val rules: EntryRules,
) {
    var state = before

    private val collected = persistentListOf<EntryEffect>().builder()

    fun emit(effect: EntryEffect) {
        collected.add(effect)
    }

    fun record(
        event: EntryDecisionEvent,
        vararg fields: Pair<String, Any?>,
    ) = emit(EntryEffect.RecordEvent(event, mapOf(*fields)))

    fun effects(): PersistentList<EntryEffect> = collected.build()
}
