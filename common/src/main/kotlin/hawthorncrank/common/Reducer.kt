package hawthorncrank.common

/**
 * The decision core of a process: a pure function from state, event and time to the next state and the effects that the
 * process then carries out. It reads no clock, uses no random numbers and does no input or output, so replaying a
 * recorded history gives the same decisions.
 */
fun interface Reducer<State, Event, Effect> {
    fun reduce(
        state: State,
        event: Event,
        now: Long,
    ): Transition<State, Effect>
}
