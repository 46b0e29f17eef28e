package hawthorncrank.routing

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertTrue

/** Guards against slow engines that are not noticed, or get urgent streams although they are known. */
class SlowEnginesGainTest {
    @TestFactory
    fun `at most two thirds as many urgent streams are late where slow engines get less urgent work`() =
        (UnevenLoadCase.ALL + UnevenLoadCase.MANY_SLOW).map { case ->
            DynamicTest.dynamicTest(case.name) {
                val lateBefore = 1 - case.urgentOnTime(readsReports = false)
                val late = 1 - case.urgentOnTime(readsReports = true)
                assertTrue(late <= lateBefore * 2 / 3, "$late of the most urgent streams late, $lateBefore without")
            }
        }
}
