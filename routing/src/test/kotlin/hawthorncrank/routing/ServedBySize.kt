package hawthorncrank.routing

/** The share of a class's requests that were served: of [all], and of each tenth of them by size, smallest first. */
internal data class ServedBySize(
    val className: String,
    val requests: Int,
    val all: Double,
    val onTime: Double,
    val tenths: List<Double>,
) {
    override fun toString(): String =
        "$className: $requests requests, on time %.2f, served %.2f, by size ".format(onTime, all) +
            tenths.joinToString(" ") { "%.2f".format(it) }

    companion object {
        fun of(
            className: String,
            callers: List<OverloadCaller>,
        ): ServedBySize {
            val bySize = callers.sortedBy { it.size }
            val tenths =
                (0 until TENTHS).map { tenth ->
                    served(bySize.subList(bySize.size * tenth / TENTHS, bySize.size * (tenth + 1) / TENTHS))
                }
            return ServedBySize(className, callers.size, served(callers), share(callers) { it.onTime }, tenths)
        }

        private fun served(callers: List<OverloadCaller>) = share(callers) { it.served }

        private fun share(
            callers: List<OverloadCaller>,
            condition: (OverloadCaller) -> Boolean,
        ): Double = callers.count(condition) / callers.size.coerceAtLeast(1).toDouble()

        private const val TENTHS = 10
    }
}
