package hawthorncrank.entry.core

/** An upstream as the platform lists it. [service] is the service that it runs. While [leaving] it gets no new work. */
data class ListedUpstream(
    val name: String,
    val service: String,
    val address: String,
    val availabilityZone: String,
    val slots: Int,
    val leaving: Boolean,
)
