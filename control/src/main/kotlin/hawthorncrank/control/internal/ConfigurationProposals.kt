package hawthorncrank.control.internal

import hawthorncrank.control.ControlCodec
import hawthorncrank.control.ControlCommand
import hawthorncrank.control.ControlOperation
import hawthorncrank.control.OperatorDocument
import hawthorncrank.intents.validateConfiguration
import hawthorncrank.protocol.ConfigurationDelta
import hawthorncrank.protocol.NamedChanges
import hawthorncrank.protocol.OperatorAnswer
import hawthorncrank.protocol.OperatorCommand
import hawthorncrank.protocol.Organisation
import hawthorncrank.protocol.canonical
import hawthorncrank.protocol.configurationDelta

/**
 * Proposes a configuration as the difference from its base version. If the base is not the current version, the group
 * can only answer with a conflict or, to a resend, with the first answer, so the difference is left empty.
 */
internal fun ControlStep.proposeConfiguration(
    request: TicketUse.OperatorRead,
    command: OperatorCommand.ProposeConfiguration,
) {
    val failures = validateConfiguration(command.configuration)
    if (failures.isNotEmpty()) {
        val answer = state.control.invalid(failures.map { it.problem }, failures.first().remedy).answer
        return answer(request.requester, answer)
    }
    val base = command.baseVersion
    val delta =
        if (base == state.control.version) {
            val next = command.configuration.canonical()
            configurationDelta(base, state.control.configuration, base + 1, next)
        } else {
            ConfigurationDelta(base, base + 1)
        }
    if (delta == ConfigurationDelta(base, base + 1) && base == state.control.version && !isRemembered(command)) {
        return answer(
            request.requester,
            OperatorAnswer.Refused("the proposed configuration is the current one", "there is nothing to change"),
        )
    }
    val parts = splitDelta(delta)
    val staged =
        parts.dropLast(1).mapIndexed { number, part ->
            ControlOperation.StageChange(command.commandIdentifier, number, part)
        }
    val operation = ControlOperation.ChangeConfiguration(command.reason, parts.last(), staged.size)
    val lifetime = (request.deadline - now).coerceAtLeast(MINIMUM_LIFETIME_MILLISECONDS)
    propose(command.commandIdentifier, request.operator, operation, request.requester, lifetime, staged)
}

/**
 * Proposes a whole configuration under a version that the operator numbered. The difference is computed from the
 * version that is current on this replica; if another change is applied first, it is computed again from that one.
 */
internal fun ControlStep.replaceConfiguration(
    request: TicketUse.OperatorRead,
    command: OperatorCommand.ReplaceConfiguration,
) {
    val current = state.control
    val failures = validateConfiguration(command.configuration)
    if (failures.isNotEmpty()) {
        return answer(request.requester, current.invalid(failures.map { it.problem }, failures.first().remedy).answer)
    }
    if (command.version <= current.version) {
        return answer(request.requester, OperatorAnswer.Accepted(current.version, emptyList()))
    }
    val next = command.configuration.canonical()
    val parts = splitDelta(configurationDelta(current.version, current.configuration, command.version, next))
    val identifier = "replace/${command.version}/${freshIdentifier()}"
    val staged = parts.dropLast(1).mapIndexed { number, part -> ControlOperation.StageChange(identifier, number, part) }
    val document = OperatorDocument(command.document)
    val operation = ControlOperation.ReplaceConfiguration(parts.last(), document, staged.size)
    val lifetime = (request.deadline - now).coerceAtLeast(MINIMUM_LIFETIME_MILLISECONDS)
    propose(identifier, request.operator, operation, request.requester, lifetime, staged, request)
}

private fun ControlStep.isRemembered(command: OperatorCommand.ProposeConfiguration) =
    command.commandIdentifier in state.control.answers

/**
 * Splits a change that does not fit into one command. Upstreams and organisations can become large: upstreams are a
 * part of their own, and organisations come last in parts of bounded size.
 */
internal fun splitDelta(delta: ConfigurationDelta): List<ConfigurationDelta> {
    if (sizeOf(delta) <= MAXIMUM_PART_BYTES) return listOf(delta)
    val organisations = chunks(delta.organisations.changed)
    val rest =
        listOf(
            delta.copy(organisations = NamedChanges(), upstreams = NamedChanges()),
            ConfigurationDelta(delta.baseVersion, delta.version, upstreams = delta.upstreams),
            ConfigurationDelta(
                delta.baseVersion,
                delta.version,
                organisations = NamedChanges(removed = delta.organisations.removed),
            ),
        )
    return rest +
        organisations.map { ConfigurationDelta(delta.baseVersion, delta.version, organisations = NamedChanges(it)) }
}

private fun chunks(organisations: List<Organisation>): List<List<Organisation>> {
    val chunks = ArrayList<List<Organisation>>()
    var chunk = ArrayList<Organisation>()
    var bytes = 0
    organisations.forEach { organisation ->
        val size = sizeOf(ConfigurationDelta(0, 0, organisations = NamedChanges(listOf(organisation))))
        if (bytes + size > MAXIMUM_PART_BYTES && chunk.isNotEmpty()) {
            chunks += chunk
            chunk = ArrayList()
            bytes = 0
        }
        chunk += organisation
        bytes += size
    }
    chunks += chunk
    return chunks
}

private fun sizeOf(delta: ConfigurationDelta): Int =
    ControlCodec.encode(ControlCommand("", "", 0, 0, ControlOperation.ChangeConfiguration("", delta))).size

// Leaves enough of the 512 KiB of one command for the reason, the names and the identifiers.
private const val MAXIMUM_PART_BYTES = 384 * 1_024
private const val MINIMUM_LIFETIME_MILLISECONDS = 1_000L
