package hawthorncrank.bench.internal

/** The results of one run, by class. Times are in milliseconds. */
internal class RunRecord(
    private val scenario: Scenario,
) {
    private val classes = scenario.classes.associate { it.settings.name to ClassRecord() }
    private val offeredBy = mutableMapOf<Pair<String, String>, Int>()
    private val finishedBy = mutableMapOf<Pair<String, String>, Int>()
    var producedTokens = 0L
        private set
    var wastedTokens = 0L
        private set
    val wastedBy = mutableMapOf<String, Long>()

    fun of(className: String): ClassRecord = classes.getValue(className)

    fun offered(request: SimulatedRequest) {
        of(request).offered++
        offeredBy.merge(request.demand.settings.name to request.organisation, 1, Int::plus)
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

    /**
     * Records a complete answer. It counts as goodput if it finished by its deadline, and as attained if it also met
     * the latency targets of its class.
     */
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
        finishedBy.merge(request.demand.settings.name to request.organisation, 1, Int::plus)
        val interval = (now - firstTokenAt).toDouble() / maxOf(1, request.outputTokens - 1)
        val paced =
            request.demand.settings.betweenTokens
                ?.let { interval <= it.value } ?: true
        if (paced && (request.firstTokenBy == null || firstTokenAt <= request.firstTokenBy)) record.attained++
    }

    val goodput: Double
        get() = classes.values.sumOf { it.goodTokens } * 1_000.0 / scenario.duration
    val wastedShare: Double
        get() = if (producedTokens == 0L) 0.0 else wastedTokens.toDouble() / producedTokens

    /** The share of the requests of small organisations in the class that finished in time. */
    fun servedShareOfSmallOrganisations(className: String): Double {
        val small = scenario.organisations.filter { it.demand <= 1 }.map { className to it.name }
        val offered = small.sumOf { offeredBy[it] ?: 0 }
        return if (offered == 0) 1.0 else small.sumOf { finishedBy[it] ?: 0 }.toDouble() / offered
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

    /** The longest period between 0 and [end] in which no request finished in time. */
    fun longestGap(end: Long): Long =
        (listOf(0L) + finishedAt + end).zipWithNext().maxOf { (earlier, later) ->
            later -
                earlier
        }
}
