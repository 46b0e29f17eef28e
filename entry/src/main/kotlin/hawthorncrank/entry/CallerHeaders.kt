package hawthorncrank.entry

/**
 * What the headers of a routed request say, in the product's terms. [identifier] names one attempt of a caller.
 * [promptParts] are the parts of the prompt in their order, shared ones first; [lastEvent] is the last event of the stream
 * that the caller has from an earlier attempt. What is absent or unreadable is null, empty or 0.
 */
class CallerHeaders(
    val identifier: String,
    val key: String?,
    val timeLeftMilliseconds: Long?,
    val promptTokens: Int,
    val maximumTokens: Int?,
    val promptParts: List<PromptPart>,
    val lastEvent: String?,
)

/** A part of a prompt. Requests with equal parts before and up to this one may share what an engine has read. */
class PromptPart(
    val identifier: Long,
    val tokens: Int,
)
