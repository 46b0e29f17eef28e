package hawthorncrank.common

import java.security.MessageDigest
import java.security.SecureRandom
import java.util.Base64
import java.util.HexFormat
import javax.crypto.SecretKeyFactory
import javax.crypto.spec.PBEKeySpec

/**
 * Hashes of API keys and operator keys, so that neither settings nor the configuration holds a usable key. The text
 * form of a salted hash is `pbkdf2$ITERATIONS$SALT$HASH` with salt and hash in Base64. It contains the iteration count,
 * so a new default does not invalidate stored hashes.
 *
 * [verify] takes tens of milliseconds for a salted hash with [DEFAULT_ITERATIONS]. Callers on the request path cache
 * its result.
 */
object KeyHash {
    const val DEFAULT_ITERATIONS = 120_000

    /** Hashes [key] under a fresh random salt. */
    fun hash(
        key: String,
        iterations: Int = DEFAULT_ITERATIONS,
    ): String {
        require(key.isNotEmpty()) { "a key must not be empty" }
        val salt = ByteArray(SALT_BYTES).also(SecureRandom()::nextBytes)
        val encoder = Base64.getEncoder()
        val hash = derive(key, salt, iterations)
        return "$SCHEME$$iterations$${encoder.encodeToString(salt)}$${encoder.encodeToString(hash)}"
    }

    /**
     * Returns the stored form of a key that the caller guarantees to be random. Such a key cannot be guessed, so an
     * unsalted fast digest protects it as well as a slow hash, and an entry finds the key's organisation with one
     * lookup.
     */
    fun digest(key: String): String = DIGEST_PREFIX + HexFormat.of().formatHex(sha256(key))

    /** Whether [text] has the form that [digest] produces. */
    fun isDigest(text: String): Boolean = DIGEST.matches(text)

    /**
     * Whether [text] has the form that [digest] produces, or the form that [hash] produces with an iteration count
     * within the accepted range.
     */
    fun isWellFormed(text: String): Boolean = parse(text) != null || isDigest(text)

    /** Compares in constant time. A malformed [text] matches no key. */
    fun verify(
        key: String,
        text: String,
    ): Boolean {
        if (key.isEmpty()) return false
        if (isDigest(text)) return MessageDigest.isEqual(digest(key).toByteArray(), text.toByteArray())
        val parsed = parse(text) ?: return false
        return MessageDigest.isEqual(derive(key, parsed.salt, parsed.iterations), parsed.hash)
    }

    private fun parse(text: String): ParsedHash? {
        val parts = text.split('$')
        if (parts.size != PARTS || parts[0] != SCHEME) return null
        val iterations = parts[1].toIntOrNull()?.takeIf { it in MINIMUM_ITERATIONS..MAXIMUM_ITERATIONS } ?: return null
        val salt = decode(parts[2])?.takeIf { it.size >= MINIMUM_SALT_BYTES } ?: return null
        val hash = decode(parts[3])?.takeIf { it.size == HASH_BYTES } ?: return null
        return ParsedHash(iterations, salt, hash)
    }

    private fun decode(text: String): ByteArray? =
        try {
            Base64.getDecoder().decode(text)
        } catch (_: IllegalArgumentException) {
            null
        }

    private fun derive(
        key: String,
        salt: ByteArray,
        iterations: Int,
    ): ByteArray {
        val specification = PBEKeySpec(key.toCharArray(), salt, iterations, HASH_BYTES * Byte.SIZE_BITS)
        try {
            return SecretKeyFactory.getInstance("PBKDF2WithHmacSHA256").generateSecret(specification).encoded
        } finally {
            specification.clearPassword()
        }
    }

    private class ParsedHash(
        val iterations: Int,
        val salt: ByteArray,
        val hash: ByteArray,
    )

    private fun sha256(key: String): ByteArray = MessageDigest.getInstance("SHA-256").digest(key.toByteArray())

    private const val DIGEST_PREFIX = "sha256$"
    private val DIGEST = Regex("sha256\\$[0-9a-f]{64}")
    private const val SCHEME = "pbkdf2"
    private const val PARTS = 4
    private const val SALT_BYTES = 16
    private const val MINIMUM_SALT_BYTES = 8
    private const val HASH_BYTES = 32
    private const val MINIMUM_ITERATIONS = 1

    // With more iterations, a hash in the configuration could stall every entry on its first request.
    private const val MAXIMUM_ITERATIONS = 2_000_000
}
