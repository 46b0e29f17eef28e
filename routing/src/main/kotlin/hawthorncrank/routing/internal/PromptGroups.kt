package hawthorncrank.routing.internal

/**
 * The classes of a target by what they cost each other: callers of [sensitive] ones count the shortest pauses, and prompts
 * of [long] ones cause the longest. The others are between. Without [sensitive] classes no engines are kept for them.
 */
internal class PromptGroups(
    val sensitive: Set<String>,
    val long: Set<String>,
) {
    companion object {
        val NONE = PromptGroups(emptySet(), emptySet())
    }
}
