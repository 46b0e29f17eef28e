package hawthorncrank.control.internal

import hawthorncrank.capacity.ReportedStream
import hawthorncrank.control.ControlHistory
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.ListedUpstream
import hawthorncrank.protocol.OperatorAnswer
import hawthorncrank.protocol.OperatorCommand
import hawthorncrank.protocol.RouteService
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/**
 * Guards against entries that disagree on which engines are slow or forget it with a leader, and against engines that are
 * asked by every replica or all the time.
 */
class EngineReadingTest {
    private val engines = (1..6).map { ListedUpstream("e$it", "model", "10.0.0.$it:80", "zone", 64, leaving = false) }
    private val streams = engines.associate { it.name to RunningStreams(if (it.name == SLOW) 2.2 else 1.0) }
    private val silent = HashSet<String>()
    private val group = VirtualGroup(3, readsEngineReports = true)
    private var answeredReports = 0
    private val answeredLists = HashMap<String, Int>()

    init {
        val configuration =
            ControlHistory.initial.copy(routeServices = listOf(RouteService("model", servesModels = true)))
        val command = OperatorCommand.ReplaceConfiguration(1, ByteArray(0), configuration)
        assertIs<OperatorAnswer.Accepted>(group.execute(group.leader(), command))
    }

    @Test
    fun `entries of all replicas learn the same slow engine`() {
        run(SECONDS_TO_LEARN)
        val lists = (1..3).map { list(it) }
        assertTrue(lists.all { list -> list.filter { (it.slowdown ?: 1.0) > 1.0 }.map { it.name } == listOf(SLOW) })
        assertEquals(1, lists.distinct().size)
        assertTrue(lists.first().first { it.name == SLOW }.slowdown!! in 1.75..2.75)
    }

    @Test
    fun `only the leader reads, and rarely once engines are known`() {
        run(SECONDS_TO_LEARN)
        assertEquals(setOf(group.leader()), group.reportReadings.map { it.first }.toSet())
        val before = group.reportReadings.size
        run(22)
        val later =
            group.reportReadings
                .drop(before)
                .groupingBy { it.second.engine }
                .eachCount()
        assertTrue((later - SLOW).values.all { it in 2..6 }, "$later")
    }

    @Test
    fun `a new leader keeps the decision`() {
        run(SECONDS_TO_LEARN)
        group.cut(group.leader())
        run(5)
        assertEquals(
            setOf(SLOW),
            group
                .state(group.leader())
                .control.slowEngines.keys,
        )
        run(SECONDS_TO_LEARN)
        assertEquals(
            setOf(SLOW),
            group
                .state(group.leader())
                .control.slowEngines.keys,
        )
    }

    @Test
    fun `an engine that does not tell is asked less and less often`() {
        silent += "e1"
        run(60)
        assertTrue(group.reportReadings.count { it.second.engine == "e1" } in 4..8)
    }

    @Test
    fun `an engine that is no longer slow gets its usual work back`() {
        run(SECONDS_TO_LEARN)
        streams.getValue(SLOW).slowdown = 1.0
        run(SECONDS_TO_LEARN)
        assertEquals(
            emptySet(),
            group
                .state(group.leader())
                .control.slowEngines.keys,
        )
    }

    private fun run(seconds: Int) =
        repeat(seconds * 10) {
            group.run(100)
            streams.values.forEach { it.pass(group.now) }
            if (group.now % 500 == 0L) replicas().forEachIndexed { index, replica -> askForList(replica, index + 1L) }
            answer()
        }

    private fun replicas() = List(3) { "control-${it + 1}" }

    private fun askForList(
        replica: String,
        link: Long,
    ) = group.entry(replica, link, EntryToControl.ListUpstreams(group.now, heldRevision = null))

    private fun answer() {
        replicas().forEach { replica ->
            val readings = group.readings(replica)
            readings.drop(answeredLists[replica] ?: 0).forEach {
                group.deliver(replica, ControlEvent.UpstreamsListed(it.askedAt, engines))
            }
            answeredLists[replica] = readings.size
        }
        while (answeredReports < group.reportReadings.size) {
            val (replica, reading) = group.reportReadings[answeredReports++]
            val reported = streams.getValue(reading.engine).report().takeIf { reading.engine !in silent }
            group.deliver(replica, ControlEvent.EngineReported(reading.engine, reading.askedAt, reported))
        }
    }

    private fun list(replica: Int): List<ListedUpstream> =
        group
            .sent("control-$replica", replica.toLong())
            .filterIsInstance<ControlToEntry.UpstreamList>()
            .mapNotNull { it.upstreams }
            .last()

    /** Ten streams that produce an event every 20 ms, and a prompt of varied length every 500 ms. */
    private class RunningStreams(
        var slowdown: Double,
    ) {
        private val random = Random(slowdown.hashCode())
        private var events = 1.0
        private var prompt = 0
        private var promptTokens = 0

        fun pass(now: Long) {
            val read = if (now % 500 == 0L) beginPrompt() / TOKENS_PER_MILLISECOND else 0.0
            events += (100 / slowdown - read).coerceAtLeast(0.0) / EVENT_MILLISECONDS
        }

        fun report(): Map<String, ReportedStream> =
            (1..10).associate { "s$it" to ReportedStream(1_000, events.toInt()) } +
                ("p$prompt" to ReportedStream(promptTokens, 0))

        private fun beginPrompt(): Int {
            prompt++
            promptTokens = random.nextInt(500, 2_000)
            return promptTokens
        }
    }

    private companion object {
        const val SLOW = "e3"
        const val SECONDS_TO_LEARN = 30
        const val EVENT_MILLISECONDS = 20.0
        const val TOKENS_PER_MILLISECOND = 50.0
    }
}
