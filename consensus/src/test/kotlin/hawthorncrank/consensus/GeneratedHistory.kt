package hawthorncrank.consensus

import hawthorncrank.consensus.internal.Safeguards

/**
 * Runs one history: faults and requests at random times derived from the seed, then a phase without faults in which all
 * replicas must recover.
 */
internal class GeneratedHistory(
    seed: Long,
    safeguards: Safeguards = Safeguards(),
    checker: HistoryChecker = HistoryChecker(),
    private val keepIdentityOfLostDisk: Boolean = false,
) {
    val group =
        SimulatedGroup(
            seed,
            listOf("a", "b", "c", "d", "e", "f", "g").take(GROUP_SIZES[(seed % GROUP_SIZES.size).toInt()]),
            spare = if (seed % 4 == 1L) listOf("s") else emptyList(),
            safeguards = safeguards,
            checker = checker,
        ) {
            // Small limits, so that snapshots, chunks and full pipelines are frequent.
            it.copy(
                minimumRecordsBetweenSnapshots = 40,
                recordsKeptBeforeSnapshot = 10,
                logBytesBetweenSnapshots = if (seed % 3 == 0L) 400 else it.logBytesBetweenSnapshots,
                logBytesKeptBeforeSnapshot = if (seed % 3 == 0L) 100 else it.logBytesKeptBeforeSnapshot,
                maximumLogBytes = if (seed % 3 == 0L) 2_000 else it.maximumLogBytes,
                maximumRecordsPerMessage = 8,
                maximumBytesPerMessage = 64,
                maximumMessagesInFlight = 3,
            )
        }
    private var lostDisks = 0
    private val changes get() = group.administrativeAnswers.values.count { it is TicketAnswer.Committed } - 1
    private val random = group.random
    private val names = group.replicas.keys.toList()
    private var inFaultPhase = true

    fun run() {
        setNetworkFaults(random.nextInt(0, 10), random.nextInt(0, 10), random.nextInt(0, 5))
        group.run(8_000)
        scheduleRequest()
        scheduleFault()
        group.run(60_000)
        heal()
        if (!group.run(RECOVERY_MILLISECONDS, until = group::isHealthy)) throw Violation("no recovery: ${describe()}")
        val waiting = group.voters.mapTo(mutableSetOf()) { it.name }
        proposeUntilCommitted(waiting)
        val done = { waiting.isEmpty() && group.isHealthy() }
        if (!group.run(RECOVERY_MILLISECONDS, until = done)) throw Violation("no progress after healing: ${describe()}")
    }

    /** Proposes a command again if it was refused or its outcome is unknown, as a client would. */
    private fun proposeUntilCommitted(waiting: MutableSet<String>) {
        val tickets = waiting.associateWith { group.propose(it) }
        group.after(1_000) {
            val voters = group.voters.map { it.name }
            waiting.removeIf { it !in voters || tickets.getValue(it) in group.checker.committedTickets }
            if (waiting.isNotEmpty()) proposeUntilCommitted(waiting)
        }
    }

    private fun heal() {
        inFaultPhase = false
        group.cutLinks.clear()
        setNetworkFaults(0, 0, 0)
        names.forEach(group::start)
    }

    private fun setNetworkFaults(
        loss: Int,
        duplication: Int,
        slow: Int,
    ) {
        group.lossPercent = loss
        group.duplicationPercent = duplication
        group.slowPercent = slow
    }

    private fun scheduleRequest(): Unit =
        group.after(random.nextLong(5, 120)) {
            if (!inFaultPhase) return@after
            val name = names.random(random)
            if (group.replicas.getValue(name).state != null) {
                if (random.nextInt(3) == 0) group.read(name) else group.propose(name)
            }
            scheduleRequest()
        }

    private fun scheduleFault(): Unit =
        group.after(random.nextLong(100, 3_000)) {
            if (!inFaultPhase) return@after
            injectFault()
            scheduleFault()
        }

    private fun injectFault() {
        val name = if (random.nextInt(3) == 0) group.leader?.name ?: names.random(random) else names.random(random)
        val replica = group.replicas.getValue(name)
        val allLinks = names.flatMap { listOf(it to name, name to it) }
        when (random.nextInt(11)) {
            0, 1 -> crashAll(listOf(name))
            2, 3 -> loseDisk(name)
            4 -> cutTemporarily(List(random.nextInt(1, 4)) { names.random(random) to names.random(random) }, 5_000)
            5 -> cutTemporarily(allLinks, 15_000)
            6 -> crashAll(names)
            7 -> replica.stalledUntil = group.now + random.nextLong(100, 6_000)
            // An isolated leader whose timer is stalled does not step down, so it might answer stale reads.
            8 -> {
                replica.timerStalledUntil = group.now + random.nextLong(100, 8_000)
                cutTemporarily(allLinks, 8_000)
            }
            9 -> changeMembership()
            else -> changeMembership().also { group.cutLinks.clear() }
        }
    }

    private fun crashAll(crashing: List<String>) {
        crashing.forEach(group::crash)
        crashing.forEach(::restartLater)
    }

    private fun restartLater(name: String) = group.after(random.nextLong(10, 4_000)) { group.start(name) }

    private fun cutTemporarily(
        cutLinks: List<Pair<String, String>>,
        maximumDuration: Long,
    ) {
        group.cutLinks += cutLinks
        group.after(random.nextLong(100, maximumDuration)) { group.cutLinks -= cutLinks.toSet() }
    }

    /**
     * Loses a disk only while every other voter of the committed membership still has its disk. The protocol tolerates
     * one loss at a time; the next may follow as soon as the replacement is committed.
     */
    private fun loseDisk(name: String) {
        val voters = group.voters
        val others = voters.filter { it.name != name }
        if (others.size == voters.size || others.any { it.identity in group.checker.lostIdentities }) return
        lostDisks++
        group.loseDisk(name, keepIdentity = keepIdentityOfLostDisk)
        restartLater(name)
    }

    /** In a group with a spare replica: admits the non-member under a new identity, or removes one of four voters. */
    private fun changeMembership() {
        val leader = group.leader?.name ?: return
        val membership = group.checker.membership
        val inside = (membership.voters + membership.learners.map { it.member }).map { it.name }
        val outside = names.filter { it !in inside }
        if (outside.isNotEmpty()) {
            group.loseDisk(outside.first())
            group.start(outside.first())
            group.deliver(leader, ReplicaEvent.AdmitMember(-group.steps, group.member(outside.first())))
        } else if (membership.voters.size == 4) {
            val identity = membership.voters.random(random).identity
            group.deliver(leader, ReplicaEvent.RemoveMember(-group.steps, identity))
        }
    }

    fun counts(): Map<String, Number> =
        mapOf(
            "steps" to group.steps,
            "records" to group.checker.committed.size,
            "reads" to group.checker.confirmedReads,
            "lost disks" to lostDisks,
            "membership changes" to changes,
        )

    private fun describe(): String =
        group.replicas.values.joinToString { replica ->
            val state = replica.state
            "${state?.self?.identity} ${state?.role} term ${state?.term} applied ${state?.appliedIndex}/${state?.lastIndex}"
        } + ", committed ${group.checker.committed.size}, ${group.checker.membership}"
}

private const val RECOVERY_MILLISECONDS = 40_000L
private val GROUP_SIZES = listOf(7, 3, 3, 3, 5, 3, 3, 3)
