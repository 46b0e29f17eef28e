package hawthorncrank.scheduling.internal

import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against estimates that forget the longest answers when overload cuts them off and only short ones are complete. */
class LengthEstimatesTest {
    private val member = ClassMember("class", "organisation")

    @Test
    fun `an answer that was cut off counts as long as longer ones are`() {
        val complete =
            listOf(
                20,
                30,
                200,
                210,
                220,
            ).fold(LengthEstimates()) { estimates, tokens -> estimates.add(member, tokens) }
        val estimates = (1..5).fold(complete) { state, _ -> state.addCutOff(member, 100) }
        assertEquals(210, estimates.quantile(member, 0.8))
    }

    @Test
    fun `an answer that was cut off after more than any complete one counts twice its length`() {
        val estimates = LengthEstimates().add(member, 30).addCutOff(member, 100)
        assertEquals(200, estimates.quantile(member, 0.98))
    }

    @Test
    fun `an answer that was cut off before its first token says nothing`() {
        val estimates = LengthEstimates().add(member, 30).addCutOff(member, 0)
        assertEquals(30, estimates.quantile(member, 0.0))
    }
}
