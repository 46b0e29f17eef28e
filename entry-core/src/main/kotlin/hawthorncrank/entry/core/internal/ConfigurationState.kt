package hawthorncrank.entry.core.internal

import hawthorncrank.protocol.Configuration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * The configuration in force and the versions that are staged. [effective] is the configuration in force plus the
 * upstreams that the platform lists. [noticedVersions] holds the version that each neighbour reported last, and
 * [answeredVersions] the versions of the configurations that neighbours sent. Version 0 means no configuration.
 */
internal data class ConfigurationState(
    val version: Long = 0,
    val configuration: Configuration = Configuration(),
    val effective: Configuration = Configuration(),
    val staged: PersistentMap<Long, StagedVersion> = persistentMapOf(),
    val noticedVersions: PersistentMap<String, Long> = persistentMapOf(),
    val answeredVersions: PersistentMap<String, Long> = persistentMapOf(),
    val highestAnswer: StagedVersion? = null,
    val stagedAt: Long = 0,
    val noticedAt: Long = 0,
    val askedAt: Long? = null,
    val behindSince: Long? = null,
    val startedAt: Long? = null,
    val enginePriorities: EnginePriorities = EnginePriorities(),
) {
    val inForce: Boolean
        get() = version > 0

    /** The highest version that is staged or in force. */
    val highestVersion: Long
        get() = maxOf(version, staged.keys.maxOrNull() ?: 0)

    fun find(version: Long): Configuration? =
        if (version == this.version && inForce) configuration else staged[version]?.configuration
}

/** [confirmedOnLink] is the number of the control link over which the leader confirmed that nothing newer exists. */
internal data class StagedVersion(
    val version: Long,
    val configuration: Configuration,
    val stagedAt: Long,
    val confirmedOnLink: Long? = null,
)

/** The link to the control replica. [number] changes each time it opens, so a confirmation is valid for one opening. */
internal data class ControlLink(
    val open: Boolean = false,
    val number: Long = 0,
)
