package hawthorncrank.endtoend

import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.exists
import kotlin.io.path.readText
import kotlin.test.assertTrue

/** Runs one of the product's programs as a separate process. Test failures quote the file that receives its output. */
class Program(
    private val name: String,
    private val jar: String,
    private val arguments: List<String>,
    private val folder: Path,
) {
    private var process: Process? = null
    private val output: Path = folder.resolve("$name.log")

    fun start() {
        val path = JAR_FOLDERS.map { Path.of("..", it, "target", "$jar.jar") }.firstOrNull { it.exists() }
        assertTrue(path != null, "$jar.jar is not built; run bin/verify")
        val command =
            listOf("java", "-Xmx256m", "-XX:+UseSerialGC", "-jar", path.toAbsolutePath().toString()) + arguments
        process =
            ProcessBuilder(command)
                .directory(folder.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
                .start()
    }

    /** Sends SIGKILL, to simulate a failure of the VM. */
    fun kill() {
        process?.destroyForcibly()?.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)
    }

    /** Sends SIGTERM, as a planned stop does. */
    fun requestStop() {
        process?.destroy()
    }

    fun awaitExit(): Int {
        val running = checkNotNull(process)
        assertTrue(running.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS), "$name did not stop: ${log()}")
        return running.exitValue()
    }

    /** Counts the output lines that contain [text]. */
    fun countLines(text: String): Int = output.readText().lineSequence().count { text in it }

    fun log(): String = if (output.exists()) output.readText().takeLast(LOG_CHARACTERS) else ""

    private companion object {
        val JAR_FOLDERS = listOf("entry", "control", "operator", "emulator", "load")
        const val STOP_TIMEOUT_SECONDS = 60L
        const val LOG_CHARACTERS = 4_000
    }
}
