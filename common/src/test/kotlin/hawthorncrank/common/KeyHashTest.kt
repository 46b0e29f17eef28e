package hawthorncrank.common

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

class KeyHashTest {
    @Test
    fun `a hash verifies its own key and no other`() {
        val hash = KeyHash.hash("correct horse")
        assertTrue(KeyHash.verify("correct horse", hash))
        assertFalse(KeyHash.verify("correct horsf", hash))
        assertFalse(KeyHash.verify("", hash))
    }

    @Test
    fun `two hashes of one key differ by their salt`() {
        assertNotEquals(KeyHash.hash("key", iterations = 10), KeyHash.hash("key", iterations = 10))
    }

    @Test
    fun `the text form has four parts and stays valid when the default iteration count changes`() {
        val hash = KeyHash.hash("key", iterations = 10)
        assertEquals(listOf("pbkdf2", "10"), hash.split('$').take(2))
        assertEquals(4, hash.split('$').size)
        assertTrue(KeyHash.verify("key", hash))
    }

    @Test
    fun `the hash is PBKDF2 with HMAC-SHA-256`() {
        // Computed by an independent implementation for the password, salt and 4,096 iterations of RFC 6070's fifth
        // case.
        val salt = "c2FsdFNBTFRzYWx0U0FMVHNhbHRTQUxUc2FsdFNBTFRzYWx0"
        val hash = "NIyJ28vTKy8y2BS4EW6EzysXNH68GAAYHE4qH7jdU+E="
        assertTrue(KeyHash.verify("passwordPASSWORDpassword", "pbkdf2\$4096\$$salt\$$hash"))
    }

    @Test
    fun `malformed text matches no key`() {
        val malformed =
            listOf(
                "",
                "key",
                "pbkdf2\$10\$AAAA",
                "md5\$10\$AAAAAAAAAAA=\$AAAA",
                "pbkdf2\$x\$AAAAAAAAAAA=\$AAAA",
                "pbkdf2\$1\$!\$!",
            )
        malformed.forEach { text ->
            assertFalse(KeyHash.isWellFormed(text), text)
            assertFalse(KeyHash.verify("key", text), text)
        }
    }
}
