package hawthorncrank.link

import com.github.michaelbull.result.Result

/** Keeps one link open to the first address that answers, and opens a new one after a loss, until closed. */
interface LinkClient : AutoCloseable {
    /** Replaces the addresses from the next round of attempts on. An open link stays open. */
    fun useAddresses(addresses: List<String>): Result<Unit, LinkFailure>
}
