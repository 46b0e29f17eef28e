package hawthorncrank.link

/** Accepts links until closed. */
interface LinkServer : AutoCloseable {
    val port: Int
}
