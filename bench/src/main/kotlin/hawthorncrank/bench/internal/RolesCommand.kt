package hawthorncrank.bench.internal

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.sun.management.ThreadMXBean
import hawthorncrank.consensus.measureConsensusCost
import hawthorncrank.protocol.CallOutcome
import hawthorncrank.protocol.ClaimDecision
import hawthorncrank.protocol.ClaimKey
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.Heartbeat
import hawthorncrank.protocol.WireMessage
import hawthorncrank.protocol.ZoneMessage
import hawthorncrank.protocol.configurationDelta
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import java.lang.management.ManagementFactory
import java.util.Locale
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** Prints the costs of an entry's control thread, its messages and the control group, for use in docs/CAPACITY.md. */
internal class RolesCommand : CliktCommand(name = "roles") {
    private val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean

    override fun help(context: Context) = "Measure the cost of each role: entry events, messages and agreement."

    override fun run() {
        measureEntryEvents()
        measureMessages()
        measureConsensus()
    }

    private fun measureEntryEvents() {
        echo("entry reducer, by engines in the zone (33 entries in the zone, 12,000 organisations)")
        val sizes = listOf(6, 20, 60, 120)
        measure(
            "whole request, 80 reports",
            sizes,
            REQUESTS,
            { EntrySubject(it, ORGANISATIONS) },
            EntrySubject::request,
        )
        measure("tick", sizes, EVENTS, { EntrySubject(it, ORGANISATIONS) }, EntrySubject::tick)
        measure("load report", sizes, EVENTS, { EntrySubject(it, ORGANISATIONS) }, EntrySubject::loadReport)
        echo("entry reducer, by organisations (60 engines in the zone)")
        val organisations = listOf(10, 1_000, 12_000)
        measure("whole request, 80 reports", organisations, REQUESTS, { EntrySubject(60, it) }, EntrySubject::request)
        measure("tick", organisations, EVENTS, { EntrySubject(60, it) }, EntrySubject::tick)
    }

    private fun measure(
        name: String,
        sizes: List<Int>,
        repetitions: Int,
        subject: (Int) -> EntrySubject,
        action: EntrySubject.() -> Unit,
    ) {
        val costs = sizes.map { it to cost(subject(it), repetitions, action) }
        echo(Slope("$name: allocated bytes", costs.map { (size, cost) -> size to cost.first }).describe(sizes.last()))
        echo(Slope("$name: microseconds", costs.map { (size, cost) -> size to cost.second }).describe(sizes.last()))
    }

    private fun cost(
        subject: EntrySubject,
        repetitions: Int,
        action: EntrySubject.() -> Unit,
    ): Pair<Double, Double> {
        repeat(repetitions) { subject.action() }
        val bytes = threads.currentThreadAllocatedBytes
        val time = threads.currentThreadCpuTime
        repeat(repetitions) { subject.action() }
        return (threads.currentThreadAllocatedBytes - bytes).toDouble() / repetitions to
            (threads.currentThreadCpuTime - time) / NANOSECONDS_PER_MICROSECOND / repetitions
    }

    private fun measureMessages() {
        echo("messages: bytes on a link with the 20-byte frame header, and processor time to encode, sign and decode")
        sampleMessages().forEach { (name, message) ->
            val bytes = Cbor.encodeToByteArray(message).size + FRAME_HEADER_BYTES
            echo("%-28s %9d B %9.1f us".format(Locale.ROOT, name, bytes, messageMicroseconds(message)))
        }
    }

    private fun messageMicroseconds(message: WireMessage): Double {
        val mac = Mac.getInstance("HmacSHA256").apply { init(SecretKeySpec(ByteArray(32) { 1 }, "HmacSHA256")) }
        val repetitions = if (Cbor.encodeToByteArray(message).size > LARGE_MESSAGE_BYTES) 10 else EVENTS
        var time = 0L
        // The first round is a warm-up; the second overwrites its time.
        repeat(2) {
            time = threads.currentThreadCpuTime
            repeat(repetitions) {
                val payload = Cbor.encodeToByteArray(message)
                mac.doFinal(payload)
                Cbor.decodeFromByteArray<WireMessage>(payload)
                mac.doFinal(payload)
            }
        }
        return (threads.currentThreadCpuTime - time) / NANOSECONDS_PER_MICROSECOND / repetitions
    }

    private fun sampleMessages(): List<Pair<String, WireMessage>> {
        val base = slopeConfiguration(60, ORGANISATIONS)
        val changed = base.organisations.first().copy(weight = 2)
        val next = base.copy(organisations = listOf(changed) + base.organisations.drop(1))
        val key = ClaimKey("organisation-1234", "9f3c2d1e-0b7a-4d5c-8e6f-1a2b3c4d5e6f")
        val answer = CallOutcome.Answered(201, "application/json", ByteArray(512), "0123456789abcdef0123456789abcdef")
        return listOf(
            "heartbeat" to Heartbeat,
            "entry status" to EntryToControl.EntryStatus("entry-123", "availability-zone-1", 1_000, 12, 40, true),
            "claim request" to
                EntryToControl.ClaimRequest(key, "0123456789abcdef", "entry-123-1764828000000", "entry-123"),
            "claim answer" to ControlToEntry.ClaimAnswer(key, "entry-123-1", ClaimDecision.Granted(123_456)),
            "outcome record, 512 B body" to EntryToControl.OutcomeRecord(key, 123_456, answer),
            "staged notice" to ZoneMessage.StagedNotice("entry-123", 1_000),
            "change of one organisation" to
                ControlToEntry.ConfigurationChange(configurationDelta(1, base, 2, next), confirmed = true),
            "whole configuration" to ControlToEntry.ConfigurationUpdate(2, base, confirmed = true),
        )
    }

    private fun measureConsensus() {
        echo("agreement, commands of 200 B, one at a time: messages and link bytes over the whole group")
        listOf(3, 5, 7).forEach { voters ->
            val figures = measureConsensusCost(voters, COMMITS, payloadBytes = 200)
            echo(
                "%d replicas: %.1f messages, %.0f link bytes, %.0f disk bytes, %.1f syncs a commit; idle leader %.0f B/s"
                    .format(
                        Locale.ROOT,
                        voters,
                        figures.messagesPerCommit,
                        figures.linkBytesPerCommit,
                        figures.diskBytesPerCommit,
                        figures.syncsPerCommit,
                        figures.leaderLinkBytesPerSecondIdle,
                    ),
            )
        }
    }

    private companion object {
        const val ORGANISATIONS = 12_000
        const val REQUESTS = 300
        const val EVENTS = 3_000
        const val COMMITS = 400
        const val LARGE_MESSAGE_BYTES = 100_000
        const val FRAME_HEADER_BYTES = 20
        const val NANOSECONDS_PER_MICROSECOND = 1_000.0
    }
}
