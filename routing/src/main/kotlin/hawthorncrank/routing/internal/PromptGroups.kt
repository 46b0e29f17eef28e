package hawthorncrank.routing.internal

/**
 * The classes of a target by what they cost each other. Callers of [sensitive] ones count the shortest pauses, and engines
 * are kept for the [kept] ones, whose prompts are usually short, unlike those of [long] ones. Prompts above [longPrompt]
 * tokens cause the longest pauses. If it is null, the size of prompts is not known yet, and those of [long] classes count.
 */
internal class PromptGroups(
    val sensitive: Set<StreamTargets>,
    val kept: Set<StreamTargets>,
    private val long: Set<StreamTargets>,
    private val longPrompt: Double?,
) {
    /** A single prompt may be much longer than others of its class. */
    fun isLong(
        targets: StreamTargets,
        promptTokens: Int,
    ): Boolean = if (longPrompt == null) targets in long else kept.isNotEmpty() && promptTokens > longPrompt

    /** With engines kept for the sensitive classes only. */
    fun onlySensitive() = PromptGroups(sensitive, sensitive, long, longPrompt)

    fun isUsuallyLong(targets: StreamTargets): Boolean = targets in long

    companion object {
        val NONE = PromptGroups(emptySet(), emptySet(), emptySet(), null)
    }
}
