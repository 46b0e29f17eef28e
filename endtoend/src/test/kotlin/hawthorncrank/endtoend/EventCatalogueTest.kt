package hawthorncrank.endtoend

import hawthorncrank.common.EventCode
import java.nio.file.Path
import kotlin.io.path.ExperimentalPathApi
import kotlin.io.path.extension
import kotlin.io.path.isDirectory
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.pathString
import kotlin.io.path.readText
import kotlin.io.path.walk
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Operators look up log events by number, so every event must be in the catalogue and no two may share a number. */
class EventCatalogueTest {
    @Test
    fun `the catalogue lists exactly the events that the code defines`() {
        val events = eventCodes()
        val listed =
            Regex("""(?m)^\| (\d+) \| ([A-Z]+) \| ([^|]+) \|""")
                .findAll(Path.of("..", "docs", "events.md").readText())
                .map { row -> Triple(row.groupValues[1].toInt(), row.groupValues[2], row.groupValues[3].trim()) }
                .toList()
        assertTrue(events.size > 10, "only ${events.size} events were found in the compiled modules")
        assertEquals(
            events
                .map {
                    Triple(it.number, it.level.name(), it.text)
                }.sortedBy { it.first },
            listed.sortedBy { it.first },
        )
    }

    @Test
    fun `no two events share a number`() {
        val shared = eventCodes().groupBy { it.number }.filterValues { it.size > 1 }
        assertEquals(emptyMap(), shared)
    }

    @OptIn(ExperimentalPathApi::class)
    private fun eventCodes(): List<EventCode> =
        Path
            .of("..")
            .listDirectoryEntries()
            .map { it.resolve("target/classes") }
            .filter { it.isDirectory() }
            .flatMap { classes ->
                classes
                    .walk()
                    .filter {
                        it.extension == "class" && "Event" in it.fileName.pathString &&
                            '$' !in it.fileName.pathString
                    }.map {
                        classes
                            .relativize(it)
                            .pathString
                            .removeSuffix(".class")
                            .replace('/', '.')
                    }.mapNotNull { name -> runCatching { Class.forName(name) }.getOrNull() }
                    .filter { EventCode::class.java.isAssignableFrom(it) && it.isEnum }
                    .flatMap { it.enumConstants.toList() }
                    .map { it as EventCode }
                    .toList()
            }
}
