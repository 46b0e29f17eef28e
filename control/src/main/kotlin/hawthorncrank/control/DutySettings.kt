package hawthorncrank.control

import hawthorncrank.common.Milliseconds
import hawthorncrank.common.SettingsFailure
import hawthorncrank.common.SettingsFailure.InvalidValue
import hawthorncrank.consensus.ReplicaSettings
import hawthorncrank.control.internal.DutyRules

/** The rules for the duties, or null where the settings name no duty. [machine] is the holder's name at the platform. */
internal fun ControlSettings.dutyRules(machine: String): DutyRules? {
    if (knownDuties.isEmpty()) return null
    return DutyRules(
        machine,
        knownDuties,
        dutyCallsPerSecond ?: DEFAULT_CALLS_PER_SECOND,
        dutyLease?.value ?: DEFAULT_LEASE_MILLISECONDS,
        dutyChecksFencing,
    )
}

/**
 * The duties that are performed. A platform may have others, which this build does not know. Engines are ordered only where
 * [ControlSettings.orderEngines] says so.
 */
internal val ControlSettings.knownDuties: Set<Duty>
    get() =
        Duty.entries
            .filter { it.settingsName in duties && (it != Duty.AUTOSCALE || orderEngines) }
            .toSet()

internal val ControlSettings.unknownDuties: List<String>
    get() = duties.filter { name -> Duty.entries.none { it.settingsName == name } }

/** Returns the first invalid setting of the duties. Without duties the other settings have no effect. */
internal fun ControlSettings.firstDutyFailure(file: String): SettingsFailure? {
    if (knownDuties.isEmpty()) return null
    val rate = dutyCallsPerSecond
    return when {
        platformAddress == null ->
            InvalidValue(file, "platform_address", "it is missing", "write the address that the duties call")
        rate != null && (!rate.isFinite() || rate <= 0) ->
            InvalidValue(
                file,
                "duty_calls_per_second",
                "it is $rate",
                "write the rate that the platform accepts, above 0",
            )
        else -> firstLeaseFailure(file) ?: firstUsageFailure(file)
    }
}

private fun ControlSettings.firstLeaseFailure(file: String): SettingsFailure? {
    val lease = dutyLease ?: Milliseconds(DEFAULT_LEASE_MILLISECONDS)
    val heartbeat = heartbeat?.value ?: ReplicaSettings(emptyList()).heartbeatInterval
    return when {
        lease.value < MINIMUM_LEASE_MILLISECONDS ->
            InvalidValue(file, "duty_lease", "it is $lease", "write at least $MINIMUM_LEASE_MILLISECONDS ms")
        lease.value / DutyRules.CONTACT_SHARE <= heartbeat ->
            InvalidValue(
                file,
                "duty_lease",
                "it is $lease and the heartbeat $heartbeat ms",
                "write a lease above ${DutyRules.CONTACT_SHARE} heartbeats, or a shorter heartbeat",
            )
        else -> null
    }
}

private fun ControlSettings.firstUsageFailure(file: String): SettingsFailure? {
    if (Duty.USAGE_REPORT !in knownDuties) return null
    return listOf("usage_window" to usageWindow, "usage_deadline" to usageDeadline)
        .firstOrNull { (_, value) -> value == null || value.value <= 0 }
        ?.let { (key, value) ->
            InvalidValue(file, key, "it is ${value ?: "missing"}", "write a duration above 0, as in \"5 s\"")
        }
}

private const val DEFAULT_LEASE_MILLISECONDS = 3_000L
private const val DEFAULT_CALLS_PER_SECOND = 10.0

// A time limit of a call shorter than a third of this would end calls that the platform is about to answer.
private const val MINIMUM_LEASE_MILLISECONDS = 1_000L
