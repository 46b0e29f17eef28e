package hawthorncrank.entry

/**
 * The headers of a routed request, translated into the product's terms. [identifier] identifies one attempt of the
 * caller. [promptParts] are the parts of the prompt in order, shared parts first. [lastEventIdentifier] identifies the
 * last event that the caller received on an earlier attempt, and [resumes] the attempt that brought the first one. Absent or unreadable values are null, empty or 0.
 */
class CallerHeaders(
    val identifier: String,
    val key: String?,
    val timeLeftMilliseconds: Long?,
    val promptTokens: Int,
    val maximumTokens: Int?,
    val promptParts: List<PromptPart>,
    val lastEventIdentifier: String?,
    val resumes: String? = null,
)

/**
 * A stream of which the caller has the events up to [lastEventIdentifier]. [origin] identifies the caller's attempt that
 * brought the first one, if the caller says so.
 */
class ResumedStream(
    val lastEventIdentifier: String,
    val origin: String?,
)

/** A part of a prompt. Requests with equal parts up to and including this one can share an engine's prefix cache. */
class PromptPart(
    val identifier: Long,
    val tokens: Int,
)
