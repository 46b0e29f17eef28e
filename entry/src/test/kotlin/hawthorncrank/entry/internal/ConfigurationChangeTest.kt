package hawthorncrank.entry.internal

import hawthorncrank.common.KeyHash
import hawthorncrank.common.Reducer
import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.EntryEvent
import hawthorncrank.entry.core.EntryState
import hawthorncrank.entry.internal.RoutedEntryFixture.organisation
import hawthorncrank.entry.internal.RoutedEntryFixture.reducer
import hawthorncrank.entry.internal.RoutedEntryFixture.route
import hawthorncrank.entry.internal.RoutedEntryFixture.update
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.Organisation
import hawthorncrank.protocol.TrafficClass
import hawthorncrank.protocol.routeClassName
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against a request whose route, key and class come from different versions of the configuration. */
class ConfigurationChangeTest {
    private val engine = FakeUpstream.answering(HTTP_OK, "{}")
    private val crew = organisation(tier = null).copy(name = "crew", keyHashes = listOf(KeyHash.digest(KEY)))

    @Test
    fun `a request is refused because the timeout of its route changes during the upload`() {
        entry().use { entry ->
            val upload = Upload(entry.httpPort)
            entry.send(update(2, slower(crew)))
            awaitRoute(entry, "/second/")
            assertEquals(HTTP_OK, upload.finish())
        }
    }

    @Test
    fun `a request runs although its key is taken away during the upload`() {
        entry().use { entry ->
            val upload = Upload(entry.httpPort)
            val requests = engine.bodies.size
            val routes = listOf("/first/", "/second/").map { route(it, tier = 1).copy(anonymous = false) }
            val withoutKey = crew.copy(keyHashes = emptyList())
            entry.send(update(2, RoutedEntryFixture.configuration(routes, withoutKey)))
            awaitRoute(entry, "/second/", status = UNAUTHORISED)
            assertEquals(UNAUTHORISED, upload.finish())
            assertEquals(requests, engine.bodies.size)
        }
    }

    @Test
    fun `a request is refused because a configuration comes into force while it waits for the control thread`() {
        val release = CountDownLatch(1)
        entry(blockedByVersion(2, release)).use { entry ->
            entry.send(update(2, slower(crew)))
            val answer = CompletableFuture.supplyAsync { post(entry, "/first/") }
            while ("hawthorncrank_requests_in_progress 1" !in metrics(entry)) Thread.onSpinWait()
            release.countDown()
            assertEquals(HTTP_OK, answer.get())
        }
    }

    private fun entry(reducer: Reducer<EntryState, EntryEvent, EntryEffect> = RoutedEntryFixture.reducer) =
        RoutedEntryFixture
            .entry(engine.port, listOf(route("/first/", tier = 1).copy(anonymous = false)), crew, reducer = reducer)
            .also { awaitRoute(it, "/first/") }

    /** A reducer that waits for [release] before it processes a configuration of [version]. */
    private fun blockedByVersion(
        version: Long,
        release: CountDownLatch,
    ) = Reducer<EntryState, EntryEvent, EntryEffect> { state, event, now ->
        val update = event as? EntryEvent.ControlMessageReceived
        if (update != null && update == update(version, slower(crew))) release.await()
        reducer.reduce(state, event, now)
    }

    /** The routes `/first/`, now with another timeout and therefore another class, and `/second/`. */
    private fun slower(organisation: Organisation): Configuration {
        val routes =
            listOf("/first/", "/second/").map { route(it, tier = 1).copy(serviceLevel = "slower", anonymous = false) }
        val className = routeClassName("slower", 1)
        return RoutedEntryFixture
            .configuration(routes, organisation.copy(classes = listOf(className)))
            .copy(classes = listOf(TrafficClass(className, 1)))
    }

    private fun awaitRoute(
        entry: EntryProcess<EntryState>,
        path: String,
        status: Int = HTTP_OK,
    ) {
        while (post(entry, path) != status) Thread.onSpinWait()
    }

    private fun post(
        entry: EntryProcess<EntryState>,
        path: String,
    ) = exchange(entry.httpPort, "POST", path, "{}", listOf("test-key: $KEY")).status

    private fun metrics(entry: EntryProcess<EntryState>) = exchange(entry.operationsPort, "GET", "/metrics").body

    /** A request to `/first/` whose head and half of whose body have been sent. */
    private class Upload(
        port: Int,
    ) {
        private val socket = Socket("127.0.0.1", port).apply { soTimeout = READ_LIMIT_MILLISECONDS }

        init {
            val head = "POST /first/ HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\ntest-key: $KEY\r\n"
            write(head + "Content-Length: 2\r\nExpect: 100-continue\r\n\r\n")
            check(interimStatus() == CONTINUE) { "the entry does not ask for the body" }
            write("{")
        }

        private fun interimStatus(): Int {
            val head = StringBuilder()
            while (!head.endsWith("\r\n\r\n")) head.append(socket.getInputStream().read().toChar())
            return head.split(' ')[1].toInt()
        }

        fun finish(): Int {
            write("}")
            val answer = socket.use { it.getInputStream().readAllBytes().decodeToString() }
            return answer.split(' ')[1].toInt()
        }

        private fun write(text: String) {
            socket.getOutputStream().write(text.toByteArray())
            socket.getOutputStream().flush()
        }
    }

    private companion object {
        const val KEY = "crew-key"
        const val CONTINUE = 100
        const val UNAUTHORISED = 401
        const val READ_LIMIT_MILLISECONDS = 10_000
    }
}
