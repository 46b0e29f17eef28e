package hawthorncrank.link

import hawthorncrank.common.Failure

/** Why a link end could not be set up. */
sealed interface LinkFailure : Failure {
    data class MalformedAddress(
        val address: String,
    ) : LinkFailure {
        override val problem = "\"$address\" is not an address of the form IP:PORT"
        override val remedy = "write for example 127.0.0.1:7101"
    }

    data class AddressUnavailable(
        val address: String,
        val detail: String,
    ) : LinkFailure {
        override val problem = "cannot listen on $address ($detail)"
        override val remedy = "stop the process that uses it or choose another port"
    }
}
