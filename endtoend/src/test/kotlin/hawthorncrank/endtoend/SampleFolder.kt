package hawthorncrank.endtoend

import java.net.BindException
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name
import kotlin.io.path.readText
import kotlin.io.path.writeText

/** A copy of a deployment's sample settings in a temporary folder, with every port replaced by a free one. */
class SampleFolder(
    deployment: String,
) {
    val path: Path = Files.createTempDirectory("hawthorncrank-$deployment-")
    private val samples = Path.of("..", "samples", deployment).listDirectoryEntries("*.toml")
    private val freePorts = freePorts(samples.flatMap { ports(it.readText()) }.distinct())

    init {
        samples.forEach { sample ->
            path.resolve(sample.name).writeText(ADDRESS.replace(sample.readText()) { "127.0.0.1:${port(it)}" })
        }
    }

    /** The address under [key] in [file]. If several tables have the key, the first one counts. */
    fun address(
        file: String,
        key: String,
    ): String = Regex("""(?m)^$key = "([^"]+)"""").find(path.resolve(file).readText())!!.groupValues[1]

    /** The addresses of the upstreams in the configuration whose names start with [prefix]. */
    fun upstreams(prefix: String): Map<String, String> =
        Regex("""name = "($prefix[^"]*)"\nkind = "[a-z]+"\naddress = "([^"]+)"""")
            .findAll(path.resolve("configuration.toml").readText())
            .associate { it.groupValues[1] to it.groupValues[2] }

    /** Writes a changed version of [file] to the file [copy] in the same folder. */
    fun rewrite(
        file: String,
        copy: String,
        change: (String) -> String,
    ) = path.resolve(copy).writeText(change(path.resolve(file).readText()))

    private fun port(match: MatchResult): Int = freePorts.getValue(match.groupValues[1])

    private fun ports(text: String): List<String> = ADDRESS.findAll(text).map { it.groupValues[1] }.toList()

    private fun freePorts(wanted: List<String>): Map<String, Int> {
        val sockets =
            FIXED_PORTS
                .shuffled()
                .asSequence()
                .mapNotNull(::bound)
                .take(wanted.size)
                .toList()
        return wanted.zip(sockets.map { it.localPort }).toMap().also { sockets.forEach(ServerSocket::close) }
    }

    private fun bound(port: Int): ServerSocket? =
        try {
            ServerSocket(port)
        } catch (_: BindException) {
            null
        }

    private companion object {
        val ADDRESS = Regex("""127\.0\.0\.1:(\d+)""")

        // The system gives ports above these to outgoing connections, and may do so before the program under test has
        // bound its port.
        val FIXED_PORTS = 20_000..32_000
    }
}
