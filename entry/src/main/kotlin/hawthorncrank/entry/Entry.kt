package hawthorncrank.entry

import com.github.michaelbull.result.Result
import hawthorncrank.common.EventLog
import hawthorncrank.common.KeyHash
import hawthorncrank.common.MillisecondClock
import hawthorncrank.common.SettingsFailure
import hawthorncrank.entry.core.EntryBehaviour
import hawthorncrank.entry.core.EntrySettings
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

    /** Looks for a control replica at these addresses from the next link on. */
    fun updateControlAddresses(addresses: List<String>): Result<Unit, LinkFailure>

    /** Stops accepting work and calls [finished] when nothing is in flight. */
    fun stop(finished: () -> Unit)
}

/**
 * Starts an entry with the product's decisions; [file] names the settings in errors. With [routed] it carries the requests
 * of the configuration's routes instead of the product's own interface.
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
 * Behind routes, engines are shared by many entries that do not see each other's work, and order and preempt requests by
 * their priority themselves; an entry that preempted as well would only waste what they have done.
 */
private fun behaviour(
    settings: EntryProgramSettings,
    routed: Boolean,
): EntryBehaviour =
    if (!routed) {
        EntryBehaviour()
    } else {
        EntryBehaviour(
            // A tenth is left for the way from the check to the upstream.
            confirmationLifetime = settings.keyRevocation?.let { it.value * 9 / 10 },
            acceptAfterStop = settings.drainTime?.value ?: 0,
            brokenConnectionIsCrash = false,
            connectFailuresToExclude = 1,
            scheduling = SchedulingPolicy(preemption = false, floor = false),
            routing = RoutingPolicy(choice = ChoiceRule.LEAST_DELAY, reservesFloors = false),
        )
    }
