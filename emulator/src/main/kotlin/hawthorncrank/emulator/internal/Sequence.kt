package hawthorncrank.emulator.internal

/** The generation of one answer. [onToken] receives the index of each token, and [produced] counts the tokens. */
internal class Sequence(
    val priority: Int,
    val length: Int,
    var prefillLeft: Int,
    var produced: Int = 0,
    private val onToken: (Int) -> Unit,
) {
    val finished: Boolean get() = produced >= length

    fun produce() {
        if (finished) return
        onToken(produced)
        produced += 1
    }
}
