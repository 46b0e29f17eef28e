package hawthorncrank.scheduling.internal

import java.util.TreeMap
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

/** Checks that the tree loses no keys, keeps their order and never changes earlier versions. */
class OrderedMapTest {
    @Test
    fun `it agrees with TreeMap over random changes and leaves earlier versions unchanged`() {
        for (seed in 1L..50L) {
            val random = Random(seed)
            val expected = TreeMap<Int, Int>()
            var map = OrderedMap.empty<Int, Int>()
            repeat(400) { step ->
                val key = random.nextInt(100)
                val before = map
                val contents = expected.toList()
                if (random.nextInt(5) < 3) {
                    expected[key] = step
                    map = map.put(key, step)
                } else {
                    expected.remove(key)
                    map = map.remove(key)
                }
                assertEquals(contents, before.entries().map { it.key to it.value }.toList(), "seed $seed")
                assertEquals(expected.toList(), map.entries().map { it.key to it.value }.toList(), "seed $seed")
                assertEquals(expected.size, map.size, "seed $seed")
                assertEquals(expected.firstEntry()?.key, map.first()?.key, "seed $seed")
                assertEquals(expected.lastEntry()?.key, map.last()?.key, "seed $seed")
            }
        }
    }
}
