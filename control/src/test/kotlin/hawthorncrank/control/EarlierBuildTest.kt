/*
 * During an upgrade, replicas of two builds apply the same log, and each may install a snapshot of the other. The recorded
 * bytes in `src/test/resources/a49f3e4` were written by this code at that commit. `-Dhawthorncrank.record=FOLDER` writes them
 * to a folder instead of comparing them.
 */
package hawthorncrank.control

import hawthorncrank.protocol.ConfigurationDelta
import java.nio.file.Files
import java.nio.file.Path
import java.util.HexFormat
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

class EarlierBuildTest {
    private val document = OperatorDocument("{ \"version\" : 7 }".encodeToByteArray())
    private val commands =
        listOf(
            ControlOperation.ReplaceConfiguration(ConfigurationDelta(0, 7), document),
            ControlOperation.StageChange("replace/2", 0, ConfigurationDelta(7, 9)),
            ControlOperation.ReplaceConfiguration(ConfigurationDelta(7, 9), document, stagedParts = 1),
        ).mapIndexed {
            index,
            operation,
            ->
            ControlCommand("replace/$index", "operator", 40L + index, 1_800_000_000_000, operation)
        }
    private val state =
        commands.fold(ControlState(configuration = ControlHistory.initial)) { state, command ->
            applyCommand(state, command, FencingNumber(1, 1)).state
        }

    private fun check(
        name: String,
        bytes: ByteArray,
    ) {
        val hex = HexFormat.of().formatHex(bytes)
        val target = System.getProperty("hawthorncrank.record")?.let { Path.of(it, "$name.hex") }
        if (target == null) assertEquals(recorded(name), hex, name) else Files.writeString(target, "$hex\n")
    }

    private fun recorded(name: String): String =
        assertNotNull(javaClass.getResource("/a49f3e4/$name.hex"), name).readText().trim()

    /** Fails if replicas of the two builds cannot read each other's records. */
    @Test
    fun `commands are those of the earlier build`() {
        commands.forEachIndexed { index, command -> check("command-$index", ControlCodec.encode(command)) }
        commands.forEachIndexed { index, command ->
            assertEquals(command, ControlCodec.decodeCommand(HexFormat.of().parseHex(recorded("command-$index"))))
        }
    }

    /** Fails if replicas of the two builds hold different states or cannot read each other's snapshots. */
    @Test
    fun `the state after the same commands is that of the earlier build`() {
        assertEquals(9, state.version)
        check("state", ControlCodec.encode(state))
        assertEquals(state, ControlCodec.decodeState(HexFormat.of().parseHex(recorded("state"))))
    }
}
