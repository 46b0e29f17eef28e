package hawthorncrank.routing.internal

/** The recent attempts of the classes with the same targets, their prompt tokens and those that engines had to prefill. */
internal data class ClassLoad(
    val requests: DecayingSum = DecayingSum(),
    private val promptTokens: DecayingSum = DecayingSum(),
    private val prefillTokens: DecayingSum = DecayingSum(),
) {
    fun started(
        prompt: Int,
        prefill: Int,
        now: Long,
    ): ClassLoad =
        ClassLoad(
            requests.plus(1.0, now),
            promptTokens.plus(prompt.toDouble(), now),
            prefillTokens.plus(prefill.toDouble(), now),
        )

    fun prefilled(now: Long): Double = prefillTokens.value(now)

    fun averagePrompt(now: Long): Double = promptTokens.value(now) / requests.value(now)

    /** The time that engines need for these attempts, in milliseconds. */
    fun work(
        speed: PrefillSpeed,
        millisecondsPerRequest: Double,
        now: Long,
    ): Double = speed.millisecondsFor(1) * prefillTokens.value(now) + requests.value(now) * millisecondsPerRequest
}
