package hawthorncrank.link

import hawthorncrank.protocol.WireMessage

/** What the owner of links is told. Calls for one link come one at a time, from a link thread that must not block. */
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
