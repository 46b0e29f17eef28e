package hawthorncrank.entry.internal

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import hawthorncrank.protocol.Organisation
import reactor.core.publisher.Flux
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ApiKeyAuthenticatorTest {
    private val verifications = AtomicInteger()
    private val begun = CountDownLatch(1)
    private val keys =
        ApiKeyAuthenticator { key, hash ->
            verifications.incrementAndGet()
            key == hash
        }

    @Test
    fun `valid and invalid keys are verified once`() {
        val organisations = organisations("crew" to "crew.secret")
        repeat(3) {
            assertEquals("crew", check("crew.secret", organisations).get()?.name)
            assertEquals(Rejection.InvalidApiKey, check("crew.wrong", organisations).getError())
        }
        assertEquals(2, verifications.get())
    }

    /** Guards against a revoked key that stays valid in the cache. */
    @Test
    fun `a changed hash invalidates a cached key`() {
        check("crew.secret", organisations("crew" to "crew.secret"))
        val changed = organisations("crew" to "crew.other")
        assertEquals(Rejection.InvalidApiKey, check("crew.secret", changed).getError())
        assertEquals("crew", check("crew.other", changed).get()?.name)
    }

    /** Guards against a revoked key that is accepted because a verification began before the change. */
    @Test
    fun `a verification that began before a change is not used for the changed hash`() {
        val release = CountDownLatch(1)
        val slow = authenticatorBlockedBy(release)
        slow.organisationOf("crew.secret", organisations("crew" to "crew.secret")).toFuture()
        assertTrue(begun.await(10, TimeUnit.SECONDS))
        val afterChange = slow.organisationOf("crew.secret", organisations("crew" to "crew.other")).toFuture()
        release.countDown()
        assertEquals(Rejection.InvalidApiKey, afterChange.get(10, TimeUnit.SECONDS)?.getError())
    }

    /** Guards against requests that are refused while the first request with the same key is being verified. */
    @Test
    fun `requests with the same key share one verification`() {
        val release = CountDownLatch(1)
        val slow = authenticatorBlockedBy(release)
        val organisations = organisations("crew" to "crew.secret")
        val answers =
            Flux
                .range(0, 50)
                .flatMap({ slow.organisationOf("crew.secret", organisations) }, 50)
                .collectList()
                .toFuture()
        release.countDown()
        assertEquals(50, answers.get(10, TimeUnit.SECONDS).orEmpty().count { it.get()?.name == "crew" })
        assertEquals(1, verifications.get())
    }

    @Test
    fun `a key of an unknown organisation is not verified`() {
        listOf("", ".", "crew", "crew.secret", "nobody.crew.secret").forEach { check(it, organisations()) }
        assertEquals(0, verifications.get())
    }

    /** Guards against wrong keys for one organisation that block the callers of another one. */
    @Test
    fun `wrong keys for one organisation do not block another`() {
        val release = CountDownLatch(1)
        val slow =
            ApiKeyAuthenticator { key, hash ->
                if (key.startsWith("crew")) release.await()
                key == hash
            }
        val organisations = organisations("crew" to "x", "mill" to "mill.secret")
        val answers = mutableListOf<Result<Organisation, Rejection>>()
        val attempts = Flux.range(0, 100).flatMap({ slow.organisationOf("crew.wrong$it", organisations) }, 100)
        val done = CountDownLatch(1)
        attempts.doOnNext { synchronized(answers) { answers += it } }.doOnComplete { done.countDown() }.subscribe()
        synchronized(answers) { assertEquals(96, answers.count { it == Err(Rejection.KeyVerificationBusy) }) }
        release.countDown()
        assertTrue(done.await(10, TimeUnit.SECONDS))
        assertEquals(
            "mill",
            slow
                .organisationOf("mill.secret", organisations)
                .block()
                ?.get()
                ?.name,
        )
    }

    /** An authenticator whose verifications block until [release] is counted down. */
    private fun authenticatorBlockedBy(release: CountDownLatch) =
        ApiKeyAuthenticator { key, hash ->
            verifications.incrementAndGet()
            begun.countDown()
            release.await()
            key == hash
        }

    private fun check(
        key: String,
        organisations: OrganisationKeys,
    ) = checkNotNull(keys.organisationOf(key, organisations).block())

    private fun organisations(vararg hashes: Pair<String, String>) =
        OrganisationKeys(hashes.map { (name, hash) -> Organisation(name, "north", emptyList(), listOf(hash)) })
}
