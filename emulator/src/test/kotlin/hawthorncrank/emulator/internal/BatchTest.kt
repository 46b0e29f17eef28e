package hawthorncrank.emulator.internal

import kotlin.test.Test
import kotlin.test.assertEquals

class BatchTest {
    private val produced = mutableListOf<String>()

    /** If the engine stand-in ignored priority, preemption tests that use it would check nothing. */
    @Test
    fun `a lower priority number takes the slot of a higher one`() {
        val batch = Batch(slots = 1, prefillTokensPerStep = 100, honoursPriority = true)
        batch.add(sequence("low", priority = 5))
        batch.step()
        batch.add(sequence("high", priority = 1))
        repeat(5) { batch.step() }
        assertEquals(listOf("low", "high", "high", "low"), produced)
    }

    @Test
    fun `without priorities sequences run in order of arrival`() {
        val batch = Batch(slots = 1, prefillTokensPerStep = 100, honoursPriority = false)
        batch.add(sequence("low", priority = 5))
        batch.add(sequence("high", priority = 1))
        repeat(4) { batch.step() }
        assertEquals(listOf("low", "low", "high", "high"), produced)
    }

    @Test
    fun `a prompt longer than the prefill budget of a step delays the first token`() {
        val batch = Batch(slots = 2, prefillTokensPerStep = 100, honoursPriority = true)
        batch.add(sequence("long", priority = 1, prefill = 250))
        repeat(3) { batch.step() }
        assertEquals(emptyList(), produced)
        batch.step()
        assertEquals(listOf("long"), produced)
    }

    private fun sequence(
        name: String,
        priority: Int,
        prefill: Int = 0,
    ) = Sequence(priority, length = 2, prefillLeft = prefill) { produced += name }
}
