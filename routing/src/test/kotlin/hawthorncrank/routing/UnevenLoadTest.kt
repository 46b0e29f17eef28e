package hawthorncrank.routing

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertTrue

/**
 * Guards against urgent streams that are late because they run on slow engines, or together with prompts of other classes. The
 * first seconds, in which entries learn, count.
 */
class UnevenLoadTest {
    @TestFactory
    fun `the most urgent streams are on time on engines of uneven speed`() =
        UnevenLoadCase.ALL.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val share = case.urgentOnTime(readsReports = true)
                assertTrue(share >= ON_TIME, "$share of the most urgent streams on time")
            }
        }

    private companion object {
        /** The share that the operators ask for. */
        const val ON_TIME = 0.95
    }
}
