package hawthorncrank.entry.core

/** An upstream as the platform lists it. Its [service] says what it runs; [leaving] that it gets no new work. */
data class ListedUpstream(
    val name: String,
    val service: String,
    val address: String,
    val availabilityZone: String,
    val slots: Int,
    val leaving: Boolean,
)
