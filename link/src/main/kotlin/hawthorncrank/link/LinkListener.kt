package hawthorncrank.link

import hawthorncrank.protocol.WireMessage

/** Callbacks to the owner of links. Calls for one link come one at a time, on a link thread; do not block it. */
interface LinkListener {
    fun opened(link: Link)

    fun received(
        link: Link,
        message: WireMessage,
    )

    fun closed(
        link: Link,
        reason: String,
    )
}
