package hawthorncrank.control.internal

import hawthorncrank.common.KeyHash
import hawthorncrank.control.OperatorSettingsEntry
import java.security.MessageDigest
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit

/**
 * Verifies operators' keys on a separate thread, because one verification takes tens of milliseconds. The digest of a
 * valid key is cached, so that only the first command of an operator takes this time.
 */
internal class OperatorKeys(
    operators: List<OperatorSettingsEntry>,
) : AutoCloseable {
    private val hashes = operators.associate { it.name to it.keyHash }
    private val verified = HashMap<String, ByteArray>()
    private val thread =
        ThreadPoolExecutor(1, 1, 0, TimeUnit.MILLISECONDS, ArrayBlockingQueue(MAXIMUM_QUEUED_CHECKS)) { task ->
            Thread(task, "operator-keys").apply { isDaemon = true }
        }

    /** Calls [answer] with whether the key is the operator's, and with false when too many checks are queued. */
    fun check(
        operator: String,
        key: String,
        answer: (Boolean) -> Unit,
    ) {
        try {
            thread.execute { answer(isValid(operator, key)) }
        } catch (_: RejectedExecutionException) {
            answer(false)
        }
    }

    override fun close() {
        thread.shutdownNow()
    }

    private fun isValid(
        operator: String,
        key: String,
    ): Boolean {
        val hash = hashes[operator] ?: return false
        val digest = MessageDigest.getInstance("SHA-256").digest(key.encodeToByteArray())
        if (MessageDigest.isEqual(verified[operator], digest)) return true
        return KeyHash.verify(key, hash).also { if (it) verified[operator] = digest }
    }

    private companion object {
        const val MAXIMUM_QUEUED_CHECKS = 100
    }
}
