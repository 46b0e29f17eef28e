package hawthorncrank.entry.internal

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import hawthorncrank.protocol.Organisation
import reactor.core.publisher.Mono
import reactor.core.scheduler.Schedulers
import java.security.MessageDigest
import java.security.SecureRandom
import java.util.Collections
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.atomic.AtomicInteger

/**
 * Finds the organisation of an API key of the form ORGANISATION.SECRET.
 *
 * Verifying a key against a stored hash takes tens of milliseconds by design. Positive and negative results are cached
 * under a fast digest, salted per process. Verifications run on [VERIFICATION_THREADS] threads, and each organisation
 * may have [PENDING_PER_ORGANISATION] pending, so that wrong keys for one organisation neither occupy the processor nor
 * block other organisations.
 */
internal class ApiKeyAuthenticator(
    private val verify: (key: String, storedHash: String) -> Boolean,
) : AutoCloseable {
    private val salt = ByteArray(SALT_BYTES).also(SecureRandom()::nextBytes)
    private val scheduler =
        Schedulers.newBoundedElastic(VERIFICATION_THREADS, QUEUED_VERIFICATIONS, "key-verification", 60, true)
    private val results: MutableMap<String, CheckedKey> = Collections.synchronizedMap(BoundedMap(CACHED_KEYS))
    private val verifications = ConcurrentHashMap<Verification, Mono<Result<Organisation, Rejection>>>()
    private val pending = ConcurrentHashMap<String, AtomicInteger>()

    /** Finds the organisation of [key] among [organisations], those of one version of the configuration. */
    fun organisationOf(
        key: String,
        organisations: OrganisationKeys,
    ): Mono<Result<Organisation, Rejection>> {
        organisations.findByDigest(key)?.let { return Mono.just(Ok(it)) }
        val organisation =
            organisations.find(key.substringBeforeLast('.', "")) ?: return Mono.just(Err(Rejection.InvalidApiKey))
        val digest = saltedDigest(key)
        val known = results[digest]
        if (known != null && known.hashes == organisation.keyHashes) return Mono.just(known.result(organisation))
        return verifications.computeIfAbsent(Verification(digest, organisation)) { verification(key, it) }
    }

    // Requests with the same key share one verification: after a start, many arrive before the first result is cached.
    private fun verification(
        key: String,
        verification: Verification,
    ): Mono<Result<Organisation, Rejection>> {
        val (digest, organisation) = verification
        val waiting = pending.computeIfAbsent(organisation.name) { AtomicInteger() }
        if (waiting.incrementAndGet() > PENDING_PER_ORGANISATION) {
            waiting.decrementAndGet()
            return Mono.just<Result<Organisation, Rejection>>(Err(Rejection.KeyVerificationBusy)).doFinally {
                verifications.remove(verification)
            }
        }
        return Mono
            .fromCallable {
                CheckedKey(organisation.keyHashes, organisation.keyHashes.any { verify(key, it) })
                    .also { results[digest] = it }
                    .result(organisation)
            }.subscribeOn(scheduler)
            .onErrorReturn(RejectedExecutionException::class.java, Err(Rejection.KeyVerificationBusy))
            .doFinally {
                waiting.decrementAndGet()
                verifications.remove(verification)
            }.cache()
    }

    override fun close() = scheduler.dispose()

    private fun saltedDigest(key: String): String {
        val digest = MessageDigest.getInstance("SHA-256")
        digest.update(salt)
        return digest.digest(key.toByteArray()).toHex()
    }

    /**
     * Identifies a verification in progress. It includes the organisation, so that a key is verified again after the
     * organisation has changed and a revoked key is not accepted.
     */
    private data class Verification(
        val digest: String,
        val organisation: Organisation,
    )

    private class CheckedKey(
        val hashes: List<String>,
        val valid: Boolean,
    ) {
        fun result(organisation: Organisation): Result<Organisation, Rejection> =
            if (valid) Ok(organisation) else Err(Rejection.InvalidApiKey)
    }

    private class BoundedMap<Key, Value>(
        private val capacity: Int,
    ) : LinkedHashMap<Key, Value>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Key, Value>): Boolean = size > capacity
    }

    private companion object {
        const val SALT_BYTES = 16
        const val VERIFICATION_THREADS = 2
        const val QUEUED_VERIFICATIONS = 1_000
        const val PENDING_PER_ORGANISATION = 4
        const val CACHED_KEYS = 20_000
    }
}

internal fun ByteArray.toHex(): String = joinToString("") { "%02x".format(it) }
