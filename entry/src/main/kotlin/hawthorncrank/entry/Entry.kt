package hawthorncrank.entry

import com.github.michaelbull.result.Result
import hawthorncrank.common.EventLog
import hawthorncrank.common.KeyHash
import hawthorncrank.common.MillisecondClock
import hawthorncrank.common.SettingsFailure
import hawthorncrank.entry.core.EntrySettings
import hawthorncrank.entry.core.entryReducer
import hawthorncrank.entry.core.initialEntryState
import hawthorncrank.entry.internal.EntryProcess
import java.security.SecureRandom

/** A running entry. */
interface Entry : AutoCloseable {
    val httpPort: Int
    val operationsPort: Int

    /** Stops accepting work and calls [finished] when nothing is in flight. */
    fun stop(finished: () -> Unit)
}

/** Starts an entry with the product's decisions; [file] names the settings in errors. */
fun startEntry(
    settings: EntryProgramSettings,
    file: String,
    clock: MillisecondClock,
    log: EventLog,
): Result<Entry, SettingsFailure> {
    val decisionSettings =
        EntrySettings(
            name = settings.name,
            availabilityZone = settings.availabilityZone,
            region = settings.region,
            zoneEntries = (settings.zoneEntries.map { it.name } + settings.name).distinct().sorted(),
            randomSeed = SecureRandom().nextLong(),
        )
    val process =
        EntryProcess(
            settings,
            clock,
            log,
            entryReducer(decisionSettings),
            initialEntryState(decisionSettings),
            KeyHash::verify,
        )
    return process.open(file)
}
