package hawthorncrank.protocol

import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.Size
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ConfigurationDeltaTest {
    /** Otherwise entries could have different configurations under the same version. */
    @Property
    fun `applying a delta to its base gives exactly the next version`(
        @ForAll @Size(max = 12) base: List<
            @IntRange(min = 0, max = 15)
            Int,
        >,
        @ForAll @Size(max = 12) next: List<
            @IntRange(min = 0, max = 15)
            Int,
        >,
        @ForAll @IntRange(min = 1, max = 3) weight: Int,
    ) {
        val before = configuration(base.distinct(), weight = 1)
        val after = configuration(next.distinct(), weight)
        assertEquals(after, configurationDelta(1, before, 2, after).applyTo(before))
    }

    /** Each node may spend 6 KB a second, so the 460 changes a day must not each carry the whole configuration. */
    @Test
    fun `a change of one organisation is small at 12,000 organisations`() {
        val before = configuration((1..12_000).toList(), weight = 1)
        val changed = before.organisations.first().copy(weight = 7)
        val after = before.copy(organisations = listOf(changed) + before.organisations.drop(1))
        val whole = Cbor.encodeToByteArray(after).size
        val delta = Cbor.encodeToByteArray(configurationDelta(1, before, 2, after)).size
        println(
            "configuration of 12,000 organisations: $whole bytes whole, $delta bytes as a delta of one organisation",
        )
        assertTrue(delta * CHANGES_PER_DAY / SECONDS_PER_DAY < BUDGET_BYTES_PER_SECOND)
    }

    private fun configuration(
        organisations: List<Int>,
        weight: Int,
    ) = Configuration(
        classes = listOf(TrafficClass("fault-guess", tier = 1), TrafficClass("walkthrough", tier = 5)),
        organisations =
            organisations.map { number ->
                Organisation(
                    name = "organisation-$number",
                    region = "north-trinidad",
                    classes = listOf("fault-guess", "walkthrough"),
                    keyHashes = listOf("pbkdf2\$10000\$" + "s".repeat(24) + "\$" + "h".repeat(44)),
                    weight = weight,
                )
            },
    ).canonical()

    private companion object {
        const val CHANGES_PER_DAY = 460
        const val SECONDS_PER_DAY = 86_400
        const val BUDGET_BYTES_PER_SECOND = 6_000
    }
}
