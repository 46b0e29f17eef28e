package hawthorncrank.link

/** Keeps one link open to the first address that answers, and opens a new one after a loss, until closed. */
interface LinkClient : AutoCloseable
