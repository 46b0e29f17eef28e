package hawthorncrank.scheduling

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * Fake engines, used as the routing state of a dispatch. If [tierAware], shared work is placed by rule R2; otherwise an
 * engine's shared work of all tiers takes up its room. Floor work always finds room.
 */
data class FakeEngines(
    val slots: Map<String, Int>,
    val tierAware: Boolean = true,
    val running: PersistentMap<Long, FakeAttempt> = persistentMapOf(),
) {
    /** Whether the upstream has room for shared work of the tier if work of lower tiers is not counted. */
    fun roomFor(
        upstream: String,
        tier: Int,
    ): Boolean = sharedOn(upstream).count { it.tier <= tier } < slots.getValue(upstream)

    fun sharedOn(upstream: String): List<FakeAttempt> =
        running.values.filter { it.upstream == upstream && it.capacity == CapacityKind.SHARED }

    fun without(requestNumber: Long): FakeEngines = copy(running = running.remove(requestNumber))

    companion object {
        fun placement(): Placement<FakeEngines> = Placement(FakeEngines::place, FakeEngines::without)
    }

    private fun place(question: PlacementQuestion): PlacementAnswer<FakeEngines> {
        if (question.capacity == CapacityKind.FLOOR) return placed(slots.keys.first(), question, overcommitted = false)
        val free = slots.keys.filter { sharedOn(it).size < slots.getValue(it) }
        if (free.isNotEmpty()) return placed(free.minBy { sharedOn(it).size }, question, overcommitted = false)
        val above = slots.keys.filter { tierAware && roomFor(it, question.tier) }
        val best = above.maxByOrNull { question.preemptableTier(it) ?: 0 } ?: return PlacementAnswer.NoRoom
        return placed(best, question, overcommitted = true)
    }

    private fun placed(
        upstream: String,
        question: PlacementQuestion,
        overcommitted: Boolean,
    ): PlacementAnswer<FakeEngines> {
        val work = question.work
        check(work.requestNumber !in running) { "request ${work.requestNumber} was placed twice" }
        val attempt = FakeAttempt(work, upstream, question.tier, question.capacity)
        return PlacementAnswer.Placed(upstream, overcommitted, copy(running = running.put(work.requestNumber, attempt)))
    }
}

data class FakeAttempt(
    val work: QueuedWork,
    val upstream: String,
    val tier: Int,
    val capacity: CapacityKind,
    val tokens: Int = 0,
    val answerStarted: Boolean = false,
)
