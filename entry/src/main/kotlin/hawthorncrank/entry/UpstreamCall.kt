package hawthorncrank.entry

/** What an entry tells an upstream about an attempt besides the caller's own request. Tier 1 is the highest. */
class UpstreamCall(
    val upstream: String,
    val organisation: String?,
    val tier: Int,
    val timeLeftMilliseconds: Long?,
    val lastEventIdentifier: String?,
)
