package hawthorncrank.operator.internal

import hawthorncrank.common.Failure
import hawthorncrank.intents.ConfigurationFailure
import hawthorncrank.intents.describeDelta
import hawthorncrank.intents.validateConfiguration
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.canonical
import hawthorncrank.protocol.configurationDelta

/**
 * Returns the errors for which the control group would refuse the configuration, then the warnings. Warnings are computed
 * from the canonical order, in which entries get the configuration.
 */
internal fun checkConfiguration(configuration: Configuration): List<ConfigurationFinding> {
    val canonical = configuration.canonical()
    val findings =
        validateConfiguration(configuration).map(::errorOf) +
            findUnreachable(canonical) +
            findContradictions(canonical)
    return findings.map { it.withoutHashes() }
}

/** Names what differs in [next] from [current]. */
internal fun differencesBetween(
    current: Configuration,
    next: Configuration,
): List<String> =
    describeDelta(
        configurationDelta(baseVersion = 0, current.canonical(), version = 1, next.canonical()),
        limit = Int.MAX_VALUE,
    ).map(::withoutHashes)

internal fun errorOf(failure: Failure) =
    ConfigurationFinding(
        FindingSeverity.ERROR,
        (failure as? ConfigurationFailure)?.field.orEmpty(),
        failure.problem,
        failure.remedy,
    )
