package hawthorncrank.entry

/**
 * The headers of a routed request, translated into the product's terms. [identifier] identifies one attempt of the
 * caller. [promptParts] are the parts of the prompt in order, shared parts first. [lastEventIdentifier] identifies the
 * last event that the caller received on an earlier attempt. Absent or unreadable values are null, empty or 0.
 */
class CallerHeaders(
    val identifier: String,
    val key: String?,
    val timeLeftMilliseconds: Long?,
    val promptTokens: Int,
    val maximumTokens: Int?,
    val promptParts: List<PromptPart>,
    val lastEventIdentifier: String?,
)

/** A part of a prompt. Requests with equal parts up to and including this one can share an engine's prefix cache. */
class PromptPart(
    val identifier: Long,
    val tokens: Int,
)
