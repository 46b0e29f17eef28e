package hawthorncrank.entry.internal

import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against a budget that cuts off answers whose end frees little, or urgent ones before others. */
class AnswerBudgetTest {
    private val cut = mutableListOf<String>()
    private val budget = AnswerBudget(limitBytes = 100)

    @Test
    fun `of the large answers the least urgent is cut off`() {
        share("small and least urgent", priority = 9).hold(1)
        val urgent = share("urgent", priority = 1)
        share("less urgent", priority = 2).hold(40)
        urgent.hold(59)
        assertEquals(emptyList(), cut)
        urgent.hold(60)
        assertEquals(listOf("less urgent"), cut)
    }

    @Test
    fun `of equally urgent answers the largest is cut off, and only once`() {
        val larger = share("larger", priority = 1)
        larger.hold(60)
        val smaller = share("smaller", priority = 1)
        smaller.hold(41)
        larger.hold(1_000)
        smaller.hold(100)
        assertEquals(listOf("larger"), cut)
    }

    @Test
    fun `an answer that ends frees its bytes`() {
        share("first", priority = 1).apply { hold(90) }.release()
        share("second", priority = 1).hold(90)
        assertEquals(emptyList(), cut)
    }

    private fun share(
        name: String,
        priority: Int,
    ) = budget.share(priority) { cut += name }
}
