package hawthorncrank.common

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertIs

class BoundedJsonTest {
    @Test
    fun `nesting up to the limit is read and deeper nesting fails`() {
        assertIs<JsonArray>(Json.parseBounded("[".repeat(100) + "]".repeat(100)))
        assertFailsWith<SerializationException> { Json.parseBounded("[".repeat(101) + "]".repeat(101)) }
        assertFailsWith<SerializationException> { Json.parseBounded("""{"a":""".repeat(101) + "1" + "}".repeat(101)) }
        assertFailsWith<SerializationException> { Json.decodeBounded<List<Int>>("[".repeat(1_000_000)) }
    }

    @Test
    fun `brackets inside strings and side by side do not count as nesting`() {
        val text = "[".repeat(200) + "\\\"" + "{".repeat(200) + "\\\\"
        assertIs<JsonArray>(Json.parseBounded("""["$text"]"""))
        assertEquals(500, Json.decodeBounded<List<List<Int>>>(List(500) { "[1]" }.toString()).size)
    }
}
