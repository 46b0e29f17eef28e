package hawthorncrank.emulator.internal

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** An engine's report of its load; [tokenInterval] is in milliseconds. */
@Serializable
internal data class EngineLoad(
    val sequence: Long,
    val running: Int,
    val queued: Int,
    val slots: Int,
    @SerialName("token_interval")
    val tokenInterval: Double?,
)

/** Retains recent load reports so that the engine can publish one that is at least [lag] milliseconds old. */
internal class DelayedLoadReports(
    private val lag: Long,
    private val slots: Int,
) {
    private val reports = ArrayDeque<Pair<Long, EngineLoad>>()
    private var sequence = 0L

    fun record(
        running: Int,
        queued: Int,
        tokenInterval: Double?,
        now: Long,
    ) {
        sequence += 1
        reports.addLast(now to EngineLoad(sequence, running, queued, slots, tokenInterval))
        while (reports.size > 1 && reports[1].first <= now - lag) reports.removeFirst()
    }

    fun report(now: Long): EngineLoad =
        reports.lastOrNull { it.first <= now - lag }?.second ?: EngineLoad(0, 0, 0, slots, null)

    fun clear() {
        reports.clear()
        sequence = 0
    }
}
