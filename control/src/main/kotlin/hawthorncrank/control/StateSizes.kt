package hawthorncrank.control

import hawthorncrank.protocol.CallOutcome
import hawthorncrank.protocol.ClaimKey
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.ConfigurationDelta
import hawthorncrank.protocol.NamedChanges

/**
 * Sizes in bytes of commands in a log record's payload and of items in the serialized state. The size of a claim in the
 * state includes its remembered attempt, that of a history entry the remembered answer to its command.
 */
data class StateSizes(
    val claimCommand: Int,
    val outcomeCommand: Int,
    val heldClaimState: Int,
    val finishedClaimState: Int,
    val historyEntryState: Int,
    val changeCommand: Int,
    val configurationState: Int,
)

/**
 * Measures the sizes for [configuration], which must have an organisation, and for response bodies of [answerBytes].
 * Sizes per claim are means over 1,000 claims, and those per history entry over 100 changes.
 */
fun measureStateSizes(
    configuration: Configuration,
    answerBytes: Int,
): StateSizes {
    val empty = ControlState(version = 1, configuration = configuration)
    val organisation = configuration.organisations.first()
    val claims = List(CLAIMS) { claimCommand(organisation.name, it) }
    val held = claims.fold(empty) { state, command -> applied(state, command) }
    val outcomes = held.claims.entries.map { (key, record) -> outcomeCommand(key, record.claimNumber, answerBytes) }
    val finished = outcomes.fold(held) { state, command -> applied(state, command) }
    val changed = List(CHANGES) { it }.fold(empty) { state, number -> applied(state, changeCommand(state, number)) }
    val emptyBytes = ControlCodec.encode(empty).size
    return StateSizes(
        claimCommand = ControlCodec.encode(claims.last()).size,
        outcomeCommand = ControlCodec.encode(outcomes.last()).size,
        heldClaimState = (ControlCodec.encode(held).size - emptyBytes) / CLAIMS,
        finishedClaimState = (ControlCodec.encode(finished).size - emptyBytes) / CLAIMS,
        historyEntryState = (ControlCodec.encode(changed).size - emptyBytes) / CHANGES,
        changeCommand = ControlCodec.encode(changeCommand(empty, 1)).size,
        configurationState = emptyBytes - ControlCodec.encode(ControlState(version = 1)).size,
    )
}

private fun applied(
    state: ControlState,
    command: ControlCommand,
) = applyCommand(state, command, FencingNumber(1, 1)).state

private fun claimCommand(
    organisation: String,
    number: Int,
) = command(
    "entry-07",
    number,
    ControlOperation.Claim(ClaimKey(organisation, sampleIdentifier(number)), SAMPLE_DIGEST),
)

private fun outcomeCommand(
    key: ClaimKey,
    claimNumber: Long,
    answerBytes: Int,
) = command(
    "entry-07",
    claimNumber.toInt() + CLAIMS,
    ControlOperation.RecordOutcome(
        key,
        claimNumber,
        CallOutcome.Answered(SAMPLE_STATUS, "application/json", ByteArray(answerBytes), SAMPLE_DIGEST),
    ),
)

private fun changeCommand(
    state: ControlState,
    number: Int,
): ControlCommand {
    val organisation = state.configuration.organisations.first()
    val changed = organisation.copy(weight = 1 + number % 2)
    val delta =
        ConfigurationDelta(state.version, state.version + 1, organisations = NamedChanges(changed = listOf(changed)))
    return command("operator-1", number, ControlOperation.ChangeConfiguration("raise a weight", delta))
}

private fun command(
    by: String,
    number: Int,
    operation: ControlOperation,
) = ControlCommand(sampleIdentifier(number), by, clock = 0, wallTime = SAMPLE_WALL_TIME, operation = operation)

/** As long as a random UUID. */
private fun sampleIdentifier(number: Int) = number.toString().padStart(SAMPLE_IDENTIFIER_LENGTH, '0')

private const val CLAIMS = 1_000

// Fewer than the claims, because every change validates the whole configuration.
private const val CHANGES = 100
private const val SAMPLE_IDENTIFIER_LENGTH = 36
private const val SAMPLE_STATUS = 200
private const val SAMPLE_WALL_TIME = 1_800_000_000_000L
private val SAMPLE_DIGEST = "0".repeat(64)
