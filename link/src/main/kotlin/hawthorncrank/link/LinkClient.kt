package hawthorncrank.link

import com.github.michaelbull.result.Result

/** Keeps one link open to the first address that answers, and opens a new one after a loss, until closed. */
interface LinkClient : AutoCloseable {
    /** Looks for a peer at these addresses from the next attempt on. An open link stays. */
    fun useAddresses(addresses: List<String>): Result<Unit, LinkFailure>
}
