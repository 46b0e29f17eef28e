package hawthorncrank.common

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.plus

/** The result of a reducer step: the next state, and the effects to carry out in order. */
data class Transition<State, Effect>(
    val state: State,
    val effects: PersistentList<Effect> = persistentListOf(),
) {
    /** Applies a further step to the new state and appends its effects. */
    inline fun then(step: (State) -> Transition<State, Effect>): Transition<State, Effect> {
        val next = step(state)
        return Transition(next.state, effects + next.effects)
    }

    operator fun plus(effect: Effect): Transition<State, Effect> = copy(effects = effects.add(effect))
}
