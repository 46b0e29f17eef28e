package hawthorncrank.entry.internal

import hawthorncrank.entry.CallerHeaders
import hawthorncrank.entry.PromptPart
import hawthorncrank.entry.core.RequestTarget
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class RoutedRequestReaderTest {
    private val route = RoutedEntryFixture.route("/model/", tier = 1)
    private val organisation = RoutedEntryFixture.organisation(tier = null)
    private val view = ConfigurationView(1, RoutedEntryFixture.configuration(listOf(route), organisation))

    @Test
    fun `token counts of a prompt are read`() {
        val target = target(1_460, listOf(800, 410, 250))
        assertEquals(1_460 to 1_210, target.promptTokens to target.sharedTokens)
    }

    /** If sums over the token counts of requests overflow, the engine with the longest prompts appears to be idle. */
    @Test
    fun `token counts out of range are limited`() {
        val limit = 10_000_000
        val largest = target(Int.MAX_VALUE, listOf(Int.MAX_VALUE, Int.MAX_VALUE, 1))
        assertEquals(limit to limit, largest.promptTokens to largest.sharedTokens)
        val negative = target(-5, listOf(-800, 1))
        assertEquals(0 to 0, negative.promptTokens to negative.sharedTokens)
        val inconsistent = target(100, listOf(800, 1))
        assertEquals(100 to 100, inconsistent.promptTokens to inconsistent.sharedTokens)
    }

    private fun target(
        promptTokens: Int,
        parts: List<Int>,
    ): RequestTarget.Model {
        val promptParts = parts.mapIndexed { index, tokens -> PromptPart(index.toLong(), tokens) }
        val caller = CallerHeaders("attempt", null, null, promptTokens, null, promptParts, null)
        val received =
            ReceivedRequest(HttpMethod.POST, "/model/", DefaultHttpHeaders(), ByteArray(0), organisation, 0)
        val reader = RoutedRequestReader(RoutedEntryFixture.protocol(), view, route, caller)
        return assertIs<RequestTarget.Model>(reader.read(received, 1).callerRequest.target)
    }
}
