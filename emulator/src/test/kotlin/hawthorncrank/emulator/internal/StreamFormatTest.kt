package hawthorncrank.emulator.internal

import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals

class StreamFormatTest {
    private val answer = AnswerText("model", "user: knots [length=9]\n", maximumTokens = null)
    private val format = StreamFormat(answer, "model")

    /** A resumed stream must not repeat or drop bytes. */
    @Test
    fun `resuming at any offset continues with the same bytes`() {
        val whole = (0 until answer.length).map { format.chunk(it) }.reduce(ByteArray::plus)
        whole.indices.forEach { offset ->
            val position = format.position(offset)
            val rest = (position.token until answer.length).map { format.chunk(it) }.reduce(ByteArray::plus)
            assertContentEquals(whole.copyOfRange(offset, whole.size), rest.drop(position.skippedBytes).toByteArray())
        }
    }

    @Test
    fun `the token limit of the request shortens the answer`() {
        assertEquals(9, answer.length)
        assertEquals(4, AnswerText("model", "user: knots [length=9]\n", maximumTokens = 4).length)
    }
}
