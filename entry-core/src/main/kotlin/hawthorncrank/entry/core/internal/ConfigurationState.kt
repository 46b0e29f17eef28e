package hawthorncrank.entry.core.internal

import hawthorncrank.protocol.Configuration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * The configuration in force and the versions that wait for it. [effective] is the configuration with the upstreams that
 * the platform lists; [noticed] holds the highest version that each neighbour said to hold, and [attested] the versions in
 * the answers of neighbours that hold a configuration. Version 0 is none.
 */
internal data class ConfigurationState(
    val version: Long = 0,
    val configuration: Configuration = Configuration(),
    val effective: Configuration = Configuration(),
    val staged: PersistentMap<Long, StagedVersion> = persistentMapOf(),
    val noticed: PersistentMap<String, Long> = persistentMapOf(),
    val attested: PersistentMap<String, Long> = persistentMapOf(),
    val bestAttested: StagedVersion? = null,
    val stagedAt: Long = 0,
    val noticedAt: Long = 0,
    val askedAt: Long? = null,
    val behindSince: Long? = null,
    val startedAt: Long? = null,
) {
    val inForce: Boolean
        get() = version > 0

    /** The highest version in memory, staged or in force. */
    val held: Long
        get() = maxOf(version, staged.keys.maxOrNull() ?: 0)

    fun held(version: Long): Configuration? =
        if (version == this.version && inForce) configuration else staged[version]?.configuration
}

/** [confirmedOnLink] is the number of the control link over which the leader confirmed that nothing newer exists. */
internal data class StagedVersion(
    val version: Long,
    val configuration: Configuration,
    val stagedAt: Long,
    val confirmedOnLink: Long? = null,
)

/** The link to the control replica. Each opening has a new [number], so that a confirmation is bound to one opening. */
internal data class ControlLink(
    val open: Boolean = false,
    val number: Long = 0,
)
