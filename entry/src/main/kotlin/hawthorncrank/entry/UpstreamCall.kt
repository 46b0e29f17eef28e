package hawthorncrank.entry

/** What an entry sends to an upstream about an attempt in addition to the caller's request. Priority 1 is the highest. */
class UpstreamCall(
    val upstream: String,
    val organisation: String?,
    val priority: Int,
    val timeLeftMilliseconds: Long?,
    val lastEventIdentifier: String?,
)
