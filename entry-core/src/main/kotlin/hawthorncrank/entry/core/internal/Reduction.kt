package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.EntrySettings
import hawthorncrank.entry.core.EntryState
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * Collects the state changes and effects of one call of the reducer. It exists only during that call, so the reducer as
 * a whole is a pure function. Each feature is a file of extension functions on this class.
 */
internal class Reduction(
    val previousState: EntryState,
    val now: Long,
    val settings: EntrySettings,
    val rules: EntryRules,
) {
    var state = previousState

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
