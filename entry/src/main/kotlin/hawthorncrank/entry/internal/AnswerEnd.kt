package hawthorncrank.entry.internal

import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.LastHttpContent

/** Whether [message] is the last part of an answer. An interim answer (100) is a whole message, but not the answer. */
internal fun endsAnswer(message: Any): Boolean =
    message is LastHttpContent &&
        !(message is HttpResponse && message.status().codeClass() == HttpStatusClass.INFORMATIONAL)
