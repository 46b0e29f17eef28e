package hawthorncrank.consensus

import kotlin.test.assertTrue

/**
 * Core machines that find each other by seeds, as the platform starts them. More of them may run than the group has voters,
 * a machine may lose its disk, and one may be replaced by another with a new name and an empty disk.
 */
internal class DiscoveredGroup(
    seed: Long,
    machines: Int,
    tolerated: Int,
    checker: HistoryChecker = HistoryChecker(),
) {
    val target = 2 * tolerated + 1
    private val firstNames = (1..machines).map { "m$it" }
    private val seeds = firstNames.associateWithTo(HashMap()) { firstNames.take(SEEDS) }
    private val restarted = HashSet<String>()
    private var machineCount = machines
    val group =
        SimulatedGroup(
            seed,
            firstNames,
            checker = checker,
            firstFormsGroup = false,
            settingsOf = ::settings,
        )
    val random get() = group.random

    /** The machines that are not removed, in the order in which they were added. */
    val live: List<String> get() = group.replicas.keys.toList()
    val outside: List<String> get() = live.filter { name -> group.voters.none { it.name == name } }
    val groups: Set<String> get() =
        live.mapNotNullTo(HashSet()) {
            group.replicas
                .getValue(it)
                .state
                ?.group
        }

    private fun settings(
        name: String,
        settings: ReplicaSettings,
    ): ReplicaSettings {
        val ownSeeds = seeds.getValue(name)
        return settings.copy(
            peers = ownSeeds.filter { it != name }.map { ReplicaPeer(it, it) },
            electionTimeoutMinimum = 700,
            electionTimeoutMaximum = 1_400,
            heartbeatInterval = 200,
            targetVoters = target,
            lostVoterTimeout = LOST_VOTER_MILLISECONDS,
            formation = Formation(ownSeeds, firstStart = name !in restarted),
        )
    }

    /**
     * The first seed forms the group, and the first [reachedBy] machines in [order] reach it one after the other until it
     * has all its voters. The others stay cut off.
     */
    fun form(
        order: List<String> = firstNames.shuffled(random),
        reachedBy: Int = order.size,
    ) {
        val first = firstNames.first()
        order.forEach(group::isolate)
        group.deliver(first, ReplicaEvent.FormGroup(0, listOf(group.member(first))))
        val connected = hashSetOf(first)
        order.take(reachedBy).forEach { name ->
            connected += name
            group.cutLinks.removeIf { it.first in connected && it.second in connected }
            group.run(5_000) { name !in outside || group.voters.size == target }
        }
        assertTrue(group.run(60_000, until = ::isWhole), "no group of $target: ${group.voters}, groups $groups")
    }

    /** Starts all machines for the first time within [milliseconds] of each other. The first seed forms the group. */
    fun startWithin(milliseconds: Long) {
        firstNames.forEach(group::crash)
        firstNames.forEach { name ->
            group.after(random.nextLong(milliseconds)) {
                group.start(name)
                if (name == firstNames.first()) {
                    group.deliver(name, ReplicaEvent.FormGroup(0, listOf(group.member(name))))
                }
            }
        }
        assertTrue(group.run(60_000, until = ::isWhole), "no group of $target: ${group.voters}, groups $groups")
    }

    fun isWhole(): Boolean = group.voters.size == target && group.isHealthy() && groups.size == 1

    fun crash(name: String) {
        group.crash(name)
        restarted += name
    }

    fun loseDisk(name: String) {
        group.loseDisk(name)
        restarted += name
    }

    /** Starts a machine again, with the seeds that the platform names now. */
    fun start(name: String) {
        if (name !in group.replicas || group.replicas.getValue(name).state != null) return
        seeds[name] = live.take(SEEDS)
        group.start(name)
    }

    /** Adds a machine with an empty disk and returns its name. */
    fun add(): String {
        val name = "m${++machineCount}"
        group.add(name)
        restarted += name
        start(name)
        return name
    }

    /** Stops a machine as on SIGTERM. It may take a few seconds to hand over its place. */
    fun stopForGood(name: String) {
        val state = { group.replicas.getValue(name).state }
        group.deliver(name, ReplicaEvent.Leave)
        group.run(HAND_OVER_LIMIT_MILLISECONDS) { state()?.handingOver != true }
        group.deliver(name, ReplicaEvent.Stop)
        remove(name)
    }

    /** Removes a machine without a warning. */
    fun remove(name: String) {
        group.remove(name)
    }

    companion object {
        const val SEEDS = 3
        const val LOST_VOTER_MILLISECONDS = 1_400L
        const val HAND_OVER_LIMIT_MILLISECONDS = 2_000L
    }
}
