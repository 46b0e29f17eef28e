package hawthorncrank.control.internal

import hawthorncrank.consensus.ReplicaRole
import hawthorncrank.control.OrderStatus
import hawthorncrank.control.PlanStatus
import java.time.Instant

/** The state of this replica and of the group as it sees it, for operators. The leader does not confirm it. */
internal fun ControlStep.statusLines(): List<String> {
    val replica = state.replica
    val leader = if (replica.role == ReplicaRole.LEADER) replica.self.name else replica.leader?.name ?: "unknown"
    return listOf(
        "replica ${replica.self.name} (identity ${replica.self.identity}): ${replica.role.name.lowercase()}, " +
            "term ${replica.term}, leader $leader, applied ${replica.appliedIndex} of ${replica.lastIndex}",
        "  group: ${groupLine()}",
    ) +
        replica.membership.voters.map { "  voter ${it.name} at ${it.address} (identity ${it.identity})" } +
        replica.membership.learners.map { "  learner ${it.member.name}, replaces ${it.replaces ?: "nobody"}" } +
        replica.waitingReplicas.map {
            "  waiting ${it.name} at ${it.address} (identity ${it.identity}), for a voter's place"
        } +
        dutyLines() + fleetLines() + entryLines()
}

private fun ControlStep.groupLine(): String {
    val replica = state.replica
    return when {
        replica.awaitsAdmission -> "${replica.group ?: "none"}; this replica waits to be admitted"
        else -> replica.group ?: "none; form one with: hawthorncrank form"
    }
}

private fun ControlStep.fleetLines(): List<String> {
    val control = state.control
    val timedPlans = control.plans.values.filter { it.status == PlanStatus.CONFIRMED && it.returnsAtWallTime != null }
    val convictions = control.convictions.filterValues { !it.lifted }
    val unknown = control.claims.count { (_, record) -> record.outcome == null && control.isOrphaned(record) }
    val orders = control.orders.filterValues { it.status != OrderStatus.DONE }
    return listOf(
        "  configuration version ${control.version}, changed by ${control.changedBy.ifEmpty { "nobody" }}",
        "  claims: ${control.claims.size}, of them $unknown whose holder is gone",
    ) +
        state.slowEngines.map { (engine, slowdown) ->
            "  $engine takes $slowdown times as long as the faster engines"
        } +
        control.drains.map { (upstream, by) -> "  $upstream drains, ordered by $by" } +
        convictions.map { (digest, record) -> "  convicted $digest after ${record.crashes} crashes" } +
        timedPlans.map { "  plan ${it.plan.number} returns at ${instant(it.returnsAtWallTime)}: ${it.plan.words}" } +
        orders.map { (upstream, order) ->
            "  order to $upstream (${order.order.words()}): ${order.status.name.lowercase()} ${order.detail}".trimEnd()
        }
}

private fun ControlStep.entryLines(): List<String> {
    val version = state.control.version
    return state.entryLinks.values.sortedBy { it.entry }.map { session ->
        val status = session.status
        val behind = session.behindSince?.let { "BEHIND for ${(now - it) / MILLISECONDS_PER_SECOND} s, " }.orEmpty()
        val readiness = if (status?.ready == true) "ready" else "not ready"
        val summary =
            when (status) {
                null -> "no status yet"
                else ->
                    "$readiness, ${behind}version ${status.appliedVersion} of $version, " +
                        "queued ${status.queued}, in flight ${status.inFlight}"
            }
        "  entry ${session.entry} in ${session.availabilityZone}: $summary"
    }
}

internal fun ControlStep.historyLines(newest: Int): List<String> =
    state.control.history.values.toList().takeLast(newest.coerceIn(1, HISTORY_SHOWN)).map { entry ->
        val why = if (entry.why.isEmpty()) "" else " (${entry.why})"
        "${instant(entry.wallTime)} version ${entry.version} ${entry.by}: ${entry.what.joinToString("; ")}$why"
    }

private fun instant(wallTime: Long?): String = wallTime?.let { Instant.ofEpochMilli(it).toString() }.orEmpty()

private const val HISTORY_SHOWN = 1_000
private const val MILLISECONDS_PER_SECOND = 1_000
