package hawthorncrank.link

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import hawthorncrank.common.EventLog
import hawthorncrank.link.internal.DialingClient
import hawthorncrank.link.internal.ListeningServer
import hawthorncrank.link.internal.parseAddress
import hawthorncrank.protocol.LinkRole
import kotlinx.coroutines.runBlocking
import java.io.IOException

/**
 * Accepts links on [address] (`IP:PORT`, port 0 for any free one). Roles outside [acceptedRoles] are refused during the
 * handshake.
 */
fun linkServer(
    settings: LinkSettings,
    address: String,
    listener: LinkListener,
    eventLog: EventLog,
    acceptedRoles: Set<LinkRole> = LinkRole.entries.toSet(),
): Result<LinkServer, LinkFailure> {
    val parsed = parseAddress(address) ?: return Err(LinkFailure.MalformedAddress(address))
    return try {
        Ok(runBlocking { ListeningServer.start(settings, parsed, listener, eventLog, acceptedRoles) })
    } catch (failure: IOException) {
        Err(LinkFailure.AddressUnavailable(address, failure.message.orEmpty()))
    }
}

/**
 * Keeps one link open: tries [addresses] in order until one answers, and continues with the next one when the link is
 * lost. By default, waits between rounds grow from 100 ms to 2 s.
 */
fun linkClient(
    settings: LinkSettings,
    addresses: List<String>,
    listener: LinkListener,
    eventLog: EventLog,
): Result<LinkClient, LinkFailure> {
    val parsed =
        addresses.map { address -> parseAddress(address) ?: return Err(LinkFailure.MalformedAddress(address)) }
    return Ok(DialingClient(settings, parsed, listener, eventLog).also { it.start() })
}
