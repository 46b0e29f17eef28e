package hawthorncrank.entry.core

import hawthorncrank.entry.core.internal.EntryDecisionEvent
import org.junit.jupiter.api.Test
import kotlin.io.path.Path
import kotlin.io.path.exists
import kotlin.io.path.readText
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Tests that operators find every log event of the entry's decisions in the catalogue page. */
class EventCatalogueTest {
    @Test
    fun `every event of the entry's decisions has a row with its level and text`() {
        val page = listOf(Path("../docs/events.md"), Path("docs/events.md")).first { it.exists() }.readText()
        EntryDecisionEvent.entries.forEach {
            assertTrue("| ${it.number} | ${it.level} | ${it.text} |" in page, "no row for ${it.number} ${it.text}")
        }
        val numbers = EntryDecisionEvent.entries.map { it.number }
        assertEquals(numbers.distinct(), numbers)
    }
}
