package hawthorncrank.entry

/** What an entry sends to an upstream about an attempt in addition to the caller's request. Tier 1 is the highest. */
class UpstreamCall(
    val upstream: String,
    val organisation: String?,
    val tier: Int,
    val timeLeftMilliseconds: Long?,
    val lastEventIdentifier: String?,
)
