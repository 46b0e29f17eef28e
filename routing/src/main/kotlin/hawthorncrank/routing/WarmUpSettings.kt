package hawthorncrank.routing

/** Switches on the warm-up of upstreams. The name of this [entry] decides when it joins after the others. */
data class WarmUpSettings(
    val entry: String,
)
