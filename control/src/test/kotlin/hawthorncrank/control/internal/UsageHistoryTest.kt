package hawthorncrank.control.internal

import hawthorncrank.protocol.OperatorAnswer
import hawthorncrank.protocol.OperatorCommand
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Tests that the reports of real replicas and entries agree with what their engines began to run. */
class UsageHistoryTest {
    private val group = VirtualGroup(size = 3, usage = UsageRules(window = 5_000, closeDelay = 5_000))
    private val replicas = List(3) { "control-${it + 1}" }
    private val entries = List(9) { UsageEntry(group, it + 1, replicas[it % 3]) }
    private val truth = HashMap<Long, HashMap<String, Long>>()

    init {
        entries.forEach { it.start() }
    }

    @Test
    fun `every window is closed in order with the counts of the engines while machines and links fail`() {
        listOf(11L, 12L, 13L, 14L).forEach { seed ->
            val random = Random(seed)
            listOf(
                ::stepClocks,
                ::suspendEntries,
                ::moveEntries,
                ::cutReplica,
                ::restartEntries,
            ).shuffled(random).forEach {
                it(random)
                run(8_000, random)
            }
        }
        run(12_000, null)
        assertReports()
    }

    @Test
    fun `windows without requests and those of a time without a leader are closed`() {
        run(5_000, Random(1))
        run(20_000, null)
        replicas.drop(1).forEach(group::cut)
        run(30_000, null)
        group.heal()
        run(15_000, null)
        assertReports()
    }

    @Test
    fun `operators see the reports`() {
        run(12_000, Random(1))
        run(10_000, null)
        val answer = group.execute(group.leader(), OperatorCommand.Usage(newest = 2))
        val lines = assertIs<OperatorAnswer.Report>(answer).lines
        assertEquals(2, lines.size)
        assertTrue(lines.all { "not delivered" in it && "from 2027" in it }, "$lines")
    }

    /** The times of day of 30 % of the machines are set by 2 s. */
    private fun stepClocks(random: Random) {
        entries.shuffled(random).take(3).forEach { it.wallStep = if (random.nextBoolean()) 2_000 else -2_000 }
        group.wallSteps[replicas.random(random)] = -2_000
        run(10_000, random)
        entries.forEach { it.wallStep = 0 }
        group.wallSteps.clear()
    }

    private fun suspendEntries(random: Random) {
        val some = entries.shuffled(random).take(2)
        run(3_000, random, running = entries - some.toSet())
        some.forEach { it.suspended(3_000) }
    }

    /** The old replica freezes: it proposes what it has received, but nobody reads its answers. */
    private fun moveEntries(random: Random) {
        val some = entries.shuffled(random).take(4)
        some.forEach { it.silent = true }
        run(3_000, random)
        some.forEach { it.open(replicas.random(random)) }
    }

    private fun cutReplica(random: Random) {
        val victim = replicas.random(random)
        group.cut(victim)
        run(2_500, random)
        group.heal()
    }

    /** What an entry counted in the 300 ms before it dies is lost, so it dies when it is idle. */
    private fun restartEntries(random: Random) {
        val some = entries.shuffled(random).take(2)
        run(500, random, serving = entries - some.toSet())
        some.forEach { it.start() }
    }

    private fun run(
        milliseconds: Long,
        random: Random?,
        running: Collection<UsageEntry> = entries,
        serving: Collection<UsageEntry> = running,
    ) = repeat((milliseconds / 100).toInt()) {
        group.run(100)
        running.forEach { it.tick() }
        // Times may be wrong by some milliseconds, so no request begins at the very begin of a window.
        if (random == null || group.now % 5_000 == 0L) return@repeat
        serving.forEach { if (random.nextInt(5) == 0) request(it, random) }
    }

    private fun request(
        entry: UsageEntry,
        random: Random,
    ) {
        val organisation = UsageEntry.ORGANISATIONS.random(random)
        val window = (group.now + VirtualGroup.WALL_OFFSET) / 5_000
        if (!entry.run(organisation, retried = random.nextInt(4) == 0)) return
        truth.getOrPut(window) { HashMap() }.merge(organisation, 1, Long::plus)
    }

    private fun assertReports() {
        val usage = group.state(group.leader()).control.usage
        val now = group.now + VirtualGroup.WALL_OFFSET
        val due = (truth.keys.min()..(now - 11_000) / 5_000).toList()
        assertEquals(
            due,
            usage.closed.keys
                .filter { it in due }
                .sorted(),
            "windows are missing",
        )
        val wrong = due.filter { usage.closed.getValue(it).counts != truth[it].orEmpty() }
        assertTrue(wrong.isEmpty(), wrong.joinToString("\n") { "$it: ${usage.closed[it]?.counts} not ${truth[it]}" })
        group.states().forEach { assertEquals(0, it.usage?.lateCells) }
    }
}
