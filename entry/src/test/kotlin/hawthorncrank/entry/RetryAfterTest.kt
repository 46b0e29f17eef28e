package hawthorncrank.entry

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** Guards against values of a Retry-After that would keep an upstream idle for ever or not at all. */
class RetryAfterTest {
    @Test
    fun `seconds are read with their fraction`() {
        assertEquals(1_500, readRetryAfter(" 1.5 "))
        assertEquals(0, readRetryAfter("0"))
        assertNull(readRetryAfter(null))
    }

    @Test
    fun `a huge value counts as the longest time`() {
        for (text in listOf("1e300", "Infinity", "99999999999999999999")) {
            assertEquals(LONGEST_RETRY_AFTER_MILLISECONDS, readRetryAfter(text), text)
        }
    }

    @Test
    fun `a value that states no time counts as a short time`() {
        for (text in listOf("", "soon", "-1", "-1e300", "NaN", "Wed, 21 Oct 2026 07:28:00 GMT")) {
            assertEquals(UNREADABLE_RETRY_AFTER_MILLISECONDS, readRetryAfter(text), text)
        }
    }
}
