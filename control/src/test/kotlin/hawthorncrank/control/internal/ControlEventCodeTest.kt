package hawthorncrank.control.internal

import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.test.Test
import kotlin.test.assertContains

class ControlEventCodeTest {
    @Test
    fun `every event is listed in the catalogue`() {
        val page = Path.of("..", "docs", "events.md").readText()
        ControlEventCode.entries.forEach { assertContains(page, "| ${it.number} | ${it.level} | ${it.text} |") }
    }
}
