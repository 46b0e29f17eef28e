package hawthorncrank.routing.internal

/**
 * The classes of a target by what they cost each other. Callers of [sensitive] ones count the shortest pauses, and prompts
 * of [long] ones cause the longest. Engines are kept for the [kept] ones: the sensitive ones and those that they bear.
 */
internal class PromptGroups(
    val sensitive: Set<String>,
    val kept: Set<String>,
    val long: Set<String>,
) {
    companion object {
        val NONE = PromptGroups(emptySet(), emptySet(), emptySet())
    }
}
