package hawthorncrank.entry.internal

import hawthorncrank.entry.core.AttemptEnd

/** An attempt must not be sent any more, because nobody can use its answer. It ends as [end]. */
internal class SendingPointless(
    val end: AttemptEnd,
) : RuntimeException("the attempt is not sent", null, false, false)
