package hawthorncrank.emulator.internal

/** One answer being generated. [onToken] receives the index of each token, [produced] counts them. */
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
