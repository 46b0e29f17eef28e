package hawthorncrank.control

import hawthorncrank.common.KeyHash
import hawthorncrank.common.Milliseconds
import hawthorncrank.common.SettingsFailure
import hawthorncrank.common.SettingsFailure.InvalidValue
import hawthorncrank.consensus.Formation
import hawthorncrank.control.internal.RateSerializer
import hawthorncrank.intents.isAddress
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The settings file of a control replica. What operators change while the fleet runs is replicated instead. */
@Serializable
data class ControlSettings(
    val name: String,
    @SerialName("availability_zone")
    val availabilityZone: String,
    val region: String,
    @SerialName("data_folder")
    val dataFolder: String,
    @SerialName("link_address")
    val linkAddress: String,
    @SerialName("http_address")
    val httpAddress: String,
    @SerialName("fleet_key")
    val fleetKey: String,
    val replicas: List<ReplicaSettingsEntry> = emptyList(),
    val operators: List<OperatorSettingsEntry> = emptyList(),
    val seeds: List<String> = emptyList(),
    val bootstrap: Boolean = false,
    @SerialName("tolerated_losses")
    val toleratedLosses: Int? = null,
    @SerialName("operator_address")
    val operatorAddress: String? = null,
    @SerialName("platform_address")
    val platformAddress: String? = null,
    val heartbeat: Milliseconds? = null,
    @SerialName("election_timeout")
    val electionTimeout: Milliseconds? = null,
    val duties: List<String> = emptyList(),
    /** Whether this fleet decides how many engines run. Without it, the duty of ordering them is left to others. */
    @SerialName("order_engines")
    val orderEngines: Boolean = false,
    /** Whether the leader reads the engines' reports of themselves to find those that are slower than others. */
    @SerialName("engine_reports")
    val engineReports: Boolean = false,
    @SerialName("duty_calls_per_second")
    @Serializable(with = RateSerializer::class)
    val dutyCallsPerSecond: Double? = null,
    @SerialName("duty_lease")
    val dutyLease: Milliseconds? = null,
    @SerialName("duty_checks_fencing")
    val dutyChecksFencing: Boolean = false,
    @SerialName("usage_window")
    val usageWindow: Milliseconds? = null,
    @SerialName("usage_deadline")
    val usageDeadline: Milliseconds? = null,
) {
    /** Whether the replicas are found by [seeds] instead of being listed in [replicas]. */
    val discoversReplicas: Boolean
        get() = seeds.isNotEmpty()

    /**
     * The number of voters that keeps a majority after [toleratedLosses] failures; null if operators name the members.
     */
    val voters: Int?
        get() = toleratedLosses?.let { 2 * it + 1 }
}

/**
 * Returns the settings with the replicas that the seeds name. A seed gives only the address of its VM: its link port is
 * the same as this replica's, and its name is its link address.
 */
internal fun ControlSettings.withDiscoveredReplicas(): ControlSettings {
    if (!discoversReplicas) return this
    val port = linkAddress.substringAfterLast(':')
    val found = seeds.map { "${it.substringBeforeLast(':')}:$port" } + linkAddress
    return copy(name = linkAddress, replicas = found.distinct().map { ReplicaSettingsEntry(it, it) })
}

/**
 * Whether this replica forms the group at the very first start. The first seed does; at that time all replicas have the
 * same seeds.
 */
internal val ControlSettings.formsGroup: Boolean
    get() = bootstrap && seeds.firstOrNull()?.substringBeforeLast(':') == linkAddress.substringBeforeLast(':')

/** How discovered replicas form their group; null where operators form it. */
internal val ControlSettings.formation: Formation?
    get() {
        if (!discoversReplicas || voters == null) return null
        val port = linkAddress.substringAfterLast(':')
        return Formation(seeds.map { "${it.substringBeforeLast(':')}:$port" }, firstStart = bootstrap)
    }

/** A control replica and its link address; the list includes this one. */
@Serializable
data class ReplicaSettingsEntry(
    val name: String,
    val address: String,
)

/** An operator and the hash of the key that authenticates it. */
@Serializable
data class OperatorSettingsEntry(
    val name: String,
    @SerialName("key_hash")
    val keyHash: String,
)

/** Returns the first invalid setting, or null if there is none. */
fun ControlSettings.firstFailure(file: String): SettingsFailure? =
    firstEmpty(file)
        ?: firstMalformedAddress(file)
        ?: firstDutyFailure(file)
        ?: when {
            replicas.none { it.name == name } ->
                InvalidValue(file, "replicas", "\"$name\" is not listed", "list every replica, this one included")
            replicas.distinctBy { it.name }.size < replicas.size ->
                InvalidValue(file, "replicas.name", "a name appears twice", "give each replica its own name")
            replicas.distinctBy { it.address }.size < replicas.size ->
                InvalidValue(file, "replicas.address", "an address appears twice", "give each replica its own address")
            replicas.size > MAXIMUM_REPLICAS ->
                InvalidValue(file, "replicas", "there are ${replicas.size}", "list at most $MAXIMUM_REPLICAS")
            operators.distinctBy { it.name }.size < operators.size ->
                InvalidValue(file, "operators.name", "a name appears twice", "give each operator its own name")
            operators.any { !KeyHash.isWellFormed(it.keyHash) } ->
                InvalidValue(
                    file,
                    "operators.key_hash",
                    "it is not a key hash",
                    "write the line that \"hawthorncrank hash-key\" prints",
                )
            else -> null
        }

private fun ControlSettings.firstEmpty(file: String): SettingsFailure? =
    listOf(
        "name" to name,
        "availability_zone" to availabilityZone,
        "region" to region,
        "data_folder" to dataFolder,
        "fleet_key" to fleetKey,
    ).firstOrNull { (_, value) -> value.isBlank() }
        ?.let { (key, _) -> InvalidValue(file, key, "it is empty", "write a value; the sample settings show one") }

private fun ControlSettings.firstMalformedAddress(file: String): SettingsFailure? =
    (
        listOf("link_address" to linkAddress, "http_address" to httpAddress) +
            replicas.map { "replicas.address" to it.address } +
            listOfNotNull(platformAddress?.let { "platform_address" to it })
    ).firstOrNull { (_, address) -> !isListenAddress(address) }
        ?.let { (key, address) ->
            InvalidValue(
                file,
                key,
                "\"$address\" is not a valid address",
                "write IP and port, as in \"127.0.0.1:7101\"",
            )
        }

/** Port 0 selects any free port. */
private fun isListenAddress(text: String) = isAddress(text) || (text.endsWith(":0") && isAddress("${text}1"))

private const val MAXIMUM_REPLICAS = 7
