package hawthorncrank.common

import kotlinx.serialization.SerializationException
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

class JsonArrayMemberTest {
    private fun read(text: String) = readJsonArrayMember(text, name = "list", required = "next")

    private fun elements(array: String) = read("""{"list":$array,"next":null}""").elements

    @Test
    fun `an array is split into its elements`() {
        assertEquals(emptyList(), elements(" [ ] "))
        assertEquals(listOf("1", """{"a":[2,3]}""", """"],\"["""", "[]"), elements("""[1, {"a":[2,3]} ,"],\"[",[]]"""))
        assertEquals(emptyList(), read("""{"list":[]}""").elements)
    }

    @Test
    fun `the other members are returned by name`() {
        val read = read(""" {"a:b" : 1,"list":[],"c":{"d":[2,3]}, "next":"p" } """)
        assertEquals(mapOf("a:b" to "1", "c" to """{"d":[2,3]}""", "next" to "\"p\""), read.others)
    }

    @Test
    fun `elements are split however deeply they are nested`() {
        val nested = "[".repeat(100_000) + "]".repeat(100_000)
        assertEquals(listOf(nested, "1"), elements("[$nested,1]"))
    }

    /** An answer that was cut off must not pass for a whole list. */
    @Test
    fun `text of another form fails`() {
        val arrays = listOf("", "1", "{}", "[", "[1", "[1] 2")
        arrays.forEach { assertFailsWith<SerializationException>(it) { elements(it) } }
        val objects =
            listOf(
                "",
                "{",
                "[]",
                "{}",
                "{1}",
                "{a:1}",
                "{\"a\":{}",
                "{\"list\":[]",
                "{\"list\":[]}}",
                "{\"list\":[]} 1",
            )
        objects.forEach { assertFailsWith<SerializationException>(it) { read(it) } }
    }

    /** Whatever the cut leaves of the elements, the end of the object is missing. */
    @Test
    fun `a text that was cut off at any place fails`() {
        listOf("", ",]", ",{x").forEach { unreadable ->
            val whole = """{"list":[${element(1)},${element(2)}$unreadable],"next":null}"""
            (0 until whole.length).forEach { end ->
                assertFailsWith<SerializationException>(whole.take(end)) { read(whole.take(end)) }
            }
        }
    }

    /** Each form of unreadable element hid all others, since quotes and brackets were counted over the whole text. */
    @Test
    fun `unreadable elements hide no others, whatever their form, number and place`() {
        UNREADABLE.forEach { first ->
            (UNREADABLE + null).forEach { second ->
                assertEquals(
                    listOf(1, 2, 3, 4).map(::element),
                    found(first, element(1), element(2), second, element(3), element(4)),
                )
                assertEquals(
                    listOf(1, 2).map(::element),
                    found(element(1), first, second, element(2)),
                    "$first $second",
                )
                assertEquals(listOf(1, 2).map(::element), found(element(1), element(2), first, second))
            }
        }
    }

    /** A writer that was interrupted leaves the beginning of an element. */
    @Test
    fun `an element that was cut off at any place hides no others`() {
        (0 until element(9).length).forEach { end ->
            val cut = element(9).take(end)
            assertEquals(listOf(1, 2, 3).map(::element), found(element(1), cut, element(2), cut, element(3)), cut)
        }
    }

    /** Text of a foreign element must not pass for an element. */
    @Test
    fun `text inside an element is no element of its own`() {
        val inner = element(9)
        val text = inner.replace("\"", "\\\"")
        val foreign =
            listOf(
                """{"was":$inner}""",
                """{"was":[7,$inner,$inner]}""",
                """{"was":",$text,"}""",
                """{"was":$inner,x""",
                """{"was":[7,$inner,$inner],"now":{""",
                """{"was":[7,$inner],"now":"""",
                """{"was":",$text,",x}""",
                """x,$inner y""",
            )
        foreign.forEach {
            assertEquals(listOf(element(1), element(2)), found(element(1), it, element(2)), it)
        }
    }

    /** The search for the end of an unreadable element must not take a time that grows with the square of the text. */
    @Test
    fun `many unreadable elements take a bounded time`() {
        val text = "{\"a\":[1,".repeat(200_000)
        assertEquals(emptyList(), read("""{"list":[$text],"next":null}""").elements)
    }

    @Test
    fun `random bytes between elements neither fail nor produce an element that was not written`() {
        val random = Random(7)
        repeat(3_000) {
            val noise = List(random.nextInt(1, 12)) { NOISE[random.nextInt(NOISE.length)] }.joinToString("")
            val read = read("""{"list":[${element(1)},$noise,${element(2)}],"next":null}""")
            val objects = read.elements.filter { "\"id\"" in it && it.startsWith("{") }
            assertEquals(objects.distinct(), objects.filter { it == element(1) || it == element(2) }, noise)
        }
    }

    private fun found(vararg elements: String?) =
        elements("[${elements.filterNotNull().joinToString(",")}]").filter { it.startsWith("{\"id\"") }

    private fun element(number: Int) =
        """{"id":"i-$number","labels":["a",{"b":"c"}],"models":[{"name":"m","of":[]}],"slots":64,"state":"ready"}"""

    private companion object {
        const val NOISE = "{}[]\",:\\ 17ax\u0000\uFFFD"
        val UNREADABLE =
            listOf(
                "\"",
                "{",
                "}",
                "[",
                "]",
                "\uFFFD{\uFFFD",
                "[1",
                "[\"a\"",
                "{\"a\":[1",
                "{\"a\":[{\"b\":1}",
                "{\"id\":\"i-9\",\"a\":\"",
                "{\"id\":\"i-9\",",
                "{\"id\":",
                "{\"id\"",
                "{\"a\":{\"b\":",
                "\"a\\",
                "'",
                "\\",
                "",
                "x",
                "\u0000",
                "}]",
                "]}",
                "],\"next\":null}",
                "{\"a\":1}}",
                "[[",
                "{{",
                "\"\"\"",
                "\"a\":[",
                "tru",
                "-",
                "1 2",
                "{\"id\":\"i-9\" \"state\":\"ready\"}",
            )
    }
}
