package hawthorncrank.bench.internal

/** What happened in one run, by class. Times are in milliseconds. */
internal class RunRecord(
    private val scenario: Scenario,
) {
    private val classes = scenario.classes.associate { it.settings.name to ClassRecord() }
    private val servedByOrganisation = mutableMapOf<Pair<String, String>, Long>()
    var producedTokens = 0L
        private set
    var wastedTokens = 0L
        private set
    val wastedBy = mutableMapOf<String, Long>()

    fun of(className: String): ClassRecord = classes.getValue(className)

    fun offered(request: SimulatedRequest) {
        of(request).offered++
    }

    fun waited(
        request: SimulatedRequest,
        now: Long,
    ) {
        val record = of(request)
        record.longestWait = maxOf(record.longestWait, now - request.arrival)
    }

    fun shed(request: SimulatedRequest) {
        of(request).shed++
    }

    fun wasted(
        tokens: Int,
        reason: String,
    ) {
        producedTokens += tokens
        wastedTokens += tokens
        wastedBy.merge(reason, tokens.toLong(), Long::plus)
    }

    /** The whole answer arrived. It counts as goodput if it is in time, and as attained if the targets of its class held too. */
    fun finished(
        request: SimulatedRequest,
        firstTokenAt: Long,
        now: Long,
    ) {
        if (now > request.finishBy) {
            wasted(request.outputTokens, "late")
            return
        }
        val record = of(request)
        producedTokens += request.outputTokens
        record.goodTokens += request.outputTokens
        record.finishedAt += now
        servedByOrganisation.merge(
            request.demand.settings.name to request.organisation,
            request.outputTokens.toLong(),
            Long::plus,
        )
        val interval = (now - firstTokenAt).toDouble() / maxOf(1, request.outputTokens - 1)
        val paced =
            request.demand.settings.betweenTokens
                ?.let { interval <= it.value } ?: true
        if (paced && (request.firstTokenBy == null || firstTokenAt <= request.firstTokenBy)) record.attained++
    }

    val goodput: Double
        get() = classes.values.sumOf { it.goodTokens } * 1_000.0 / scenario.duration
    val wastedPart: Double
        get() = if (producedTokens == 0L) 0.0 else wastedTokens.toDouble() / producedTokens

    /** The least over the greatest service among the large organisations of the class, which always have work queued. */
    fun fairness(className: String): Double {
        val large =
            scenario.organisations.filter { it.demand > 1 }.map {
                servedByOrganisation[className to it.name]
                    ?: 0L
            }
        val small =
            scenario.organisations.filter { it.demand <= 1 }.map {
                servedByOrganisation[className to it.name]
                    ?: 0L
            }
        val largest = large.maxOrNull() ?: return 1.0
        if (largest == 0L || small.isEmpty()) return 1.0
        return small.average() / largest
    }

    private fun of(request: SimulatedRequest): ClassRecord = of(request.demand.settings.name)
}

internal class ClassRecord {
    var offered = 0
    var attained = 0
    var shed = 0
    var goodTokens = 0L
    var longestWait = 0L
    val finishedAt = mutableListOf<Long>()

    val attainment: Double
        get() = if (offered == 0) 1.0 else attained.toDouble() / offered

    /** The longest time from one finished request to the next, from the start to [end]. */
    fun longestGap(end: Long): Long =
        (listOf(0L) + finishedAt + end).zipWithNext().maxOf { (earlier, later) ->
            later -
                earlier
        }
}
