package hawthorncrank.common

import kotlinx.serialization.SerializationException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

class JsonPartsTest {
    @Test
    fun `an array is split into its elements`() {
        assertEquals(emptyList(), jsonElements(" [ ] "))
        assertEquals(listOf("1", """{"a":[2,3]}""", """"],\"["""", ""), jsonElements("""[1,{"a":[2,3]},"],\"[",]"""))
    }

    @Test
    fun `an object is split into its members`() {
        assertEquals(emptyMap(), jsonMembers("{}"))
        assertEquals(mapOf("a:b" to "1", "c" to """{"d":[2,3]}"""), jsonMembers("""{"a:b":1,"\u0063":{"d":[2,3]}}"""))
    }

    @Test
    fun `elements are split however deeply they are nested`() {
        val nested = "[".repeat(100_000) + "]".repeat(100_000)
        assertEquals(listOf(nested, "1"), jsonElements("[$nested,1]"))
    }

    @Test
    fun `text of another form fails`() {
        listOf("", "[", "1", "{}", "[1]]", "[[1]", "[1],[2]", "[1] 2", "[\"]").forEach {
            assertFailsWith<SerializationException>(it) { jsonElements(it) }
        }
        listOf("", "{", "[]", "{1}", "{a:1}", "{\"a\":{}").forEach {
            assertFailsWith<SerializationException>(it) { jsonMembers(it) }
        }
    }
}
