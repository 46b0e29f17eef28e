package hawthorncrank.entry

import com.github.michaelbull.result.Result
import hawthorncrank.common.EventLog
import hawthorncrank.common.KeyHash
import hawthorncrank.common.MillisecondClock
import hawthorncrank.common.SettingsFailure
import hawthorncrank.entry.core.EntryBehaviour
import hawthorncrank.entry.core.EntrySettings
import hawthorncrank.entry.core.confirmationLifetime
import hawthorncrank.entry.core.entryReducer
import hawthorncrank.entry.core.initialEntryState
import hawthorncrank.entry.internal.EntryProcess
import hawthorncrank.link.LinkFailure
import hawthorncrank.routing.ChoiceRule
import hawthorncrank.routing.RoutingPolicy
import hawthorncrank.scheduling.SchedulingPolicy
import java.security.SecureRandom

/** A running entry. */
interface Entry : AutoCloseable {
    val httpPort: Int
    val operationsPort: Int

    /** Replaces the addresses of the control replicas. They apply from the next link that the entry opens. */
    fun updateControlAddresses(addresses: List<String>): Result<Unit, LinkFailure>

    /** Stops accepting requests and calls [finished] when none is in flight. */
    fun stop(finished: () -> Unit)
}

/**
 * Starts an entry with the production reducer. [file] is the settings file that error messages name. With [routed], the
 * entry serves the routes of the configuration instead of the product's own API.
 */
fun startEntry(
    settings: EntryProgramSettings,
    file: String,
    clock: MillisecondClock,
    log: EventLog,
    routed: RoutedTraffic? = null,
): Result<Entry, SettingsFailure> {
    val decisionSettings =
        EntrySettings(
            name = settings.name,
            availabilityZone = settings.availabilityZone,
            region = settings.region,
            zoneEntries = (settings.zoneEntries.map { it.name } + settings.name).distinct().sorted(),
            randomSeed = SecureRandom().nextLong(),
            regions = settings.zones.associate { it.name to it.region },
            behaviour = behaviour(settings, routed != null),
            relayAddress = settings.relayAddress.takeIf { routed != null },
        )
    val process =
        EntryProcess(
            settings,
            clock,
            log,
            entryReducer(decisionSettings),
            initialEntryState(decisionSettings),
            KeyHash::verify,
            routed = routed,
        )
    return process.open(file)
}

/**
 * In routed mode, many entries share the engines without seeing each other's requests, and the engines themselves order
 * and preempt requests by priority. If the entry preempted requests too, it would only waste work that an engine has
 * done.
 */
private fun behaviour(
    settings: EntryProgramSettings,
    routed: Boolean,
): EntryBehaviour =
    if (!routed) {
        EntryBehaviour(warmUp = settings.warmUp)
    } else {
        EntryBehaviour(
            confirmationLifetime = confirmationLifetime(settings.keyRevocation?.value, settings.contactTime?.value),
            acceptAfterStop = settings.drainTime?.value ?: 0,
            stopTime = settings.stopTime?.value,
            brokenConnectionIsCrash = false,
            connectFailuresToExclude = 1,
            listFromControl = true,
            separatesSoftware = settings.relayAddress != null,
            warmUp = settings.warmUp,
            scheduling = SchedulingPolicy(preemption = false, floor = false),
            routing = RoutingPolicy(choice = ChoiceRule.LEAST_DELAY, reservesFloors = false),
        )
    }
