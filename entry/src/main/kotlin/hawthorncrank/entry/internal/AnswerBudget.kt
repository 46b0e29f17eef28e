package hawthorncrank.entry.internal

/**
 * Bounds the bytes that a process holds of answers that are not complete: collected bodies and unfinished events of streams.
 * Above [limitBytes], answers are cut off. Only answers that hold at least the mean are chosen, since cutting off small ones
 * would free little; of those the least urgent one, and of equally urgent ones the largest.
 */
internal class AnswerBudget(
    private val limitBytes: Long,
) {
    private val holding = HashSet<Share>()
    private var held = 0L

    /** Creates the share of one answer. [cutOff] is called at most once, on any thread. Priority 1 is the highest. */
    fun share(
        priority: Int,
        cutOff: () -> Unit,
    ): Share = Share(priority, cutOff)

    inner class Share(
        val priority: Int,
        val cutOff: () -> Unit,
    ) {
        var bytes = 0L
            private set
        private var closed = false

        /** States that the answer now holds [count] bytes. */
        fun hold(count: Long) {
            val excess =
                synchronized(this@AnswerBudget) {
                    if (closed || count == bytes) return
                    change(count)
                    if (held <= limitBytes) return
                    holding
                        .filter { it.bytes * holding.size >= held }
                        .maxWith(compareBy({ it.priority }, { it.bytes }))
                        .also { it.close() }
                }
            excess.cutOff()
        }

        fun release() = synchronized(this@AnswerBudget) { close() }

        /** The bytes of an answer that is cut off are free as soon as its event loop has run. */
        private fun close() {
            closed = true
            change(0)
        }

        private fun change(count: Long) {
            if (bytes == 0L && count > 0) holding.add(this)
            if (count == 0L) holding.remove(this)
            held += count - bytes
            bytes = count
        }
    }
}

/**
 * The budget of an entry. A body that grows is copied, and once more when it is complete, so that it takes up to four
 * times its bytes. The absolute limit is a quarter of the heap of the smallest entries, 126 MB.
 */
internal fun answerBudget(heapBytes: Long = Runtime.getRuntime().maxMemory()) =
    AnswerBudget(minOf(heapBytes / COPIES, LARGEST_BUDGET_BYTES))

/** A stream was cut off because the answers in progress hold more than the budget. */
internal class AnswerCutOff(
    problem: String,
) : RuntimeException(problem, null, false, false)

private const val COPIES = 4
private const val LARGEST_BUDGET_BYTES = 32L shl 20
