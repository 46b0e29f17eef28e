package hawthorncrank.routing.internal

/**
 * The classes of a target by what they cost each other. Engines are kept for the [kept] ones, whose callers count the
 * shortest pauses or whose prompts these bear; prompts of [long] ones cause the longest pauses. The others are between.
 */
internal class PromptGroups(
    val kept: Set<String>,
    val long: Set<String>,
) {
    companion object {
        val NONE = PromptGroups(emptySet(), emptySet())
    }
}
