package hawthorncrank.control.internal

import hawthorncrank.common.KeyHash
import hawthorncrank.control.OperatorSettingsEntry
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals

class OperatorKeysTest {
    @Test
    fun `only the operator's own key is accepted, also after it has been cached`() {
        val hash = KeyHash.hash("right", iterations = 10)
        val keys = OperatorKeys(listOf(OperatorSettingsEntry("desk", hash)))
        val answers = LinkedBlockingQueue<Boolean>()
        keys.use {
            listOf("desk" to "wrong", "desk" to "right", "desk" to "right", "desk" to "wrong", "other" to "right")
                .forEach { (operator, key) -> keys.check(operator, key, answers::add) }
            val expected = listOf(false, true, true, false, false)
            assertEquals(expected, expected.map { answers.poll(10, TimeUnit.SECONDS) })
        }
    }
}
