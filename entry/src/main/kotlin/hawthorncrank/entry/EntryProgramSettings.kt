package hawthorncrank.entry

import hawthorncrank.common.Milliseconds
import hawthorncrank.common.SettingsFailure
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The settings file of an entry. What operators change while the fleet runs is in the configuration instead. */
@Serializable
data class EntryProgramSettings(
    val name: String,
    @SerialName("availability_zone")
    val availabilityZone: String,
    val region: String,
    @SerialName("http_address")
    val httpAddress: String,
    @SerialName("operations_address")
    val operationsAddress: String,
    @SerialName("link_address")
    val linkAddress: String,
    @SerialName("fleet_key")
    val fleetKey: String,
    val control: List<String>,
    @SerialName("platform_address")
    val platformAddress: String? = null,
    @SerialName("tls_certificate")
    val tlsCertificate: String? = null,
    @SerialName("tls_key")
    val tlsKey: String? = null,
    @SerialName("zone_entries")
    val zoneEntries: List<ZoneEntry> = emptyList(),
    @SerialName("control_port")
    val controlPort: Int? = null,
    @SerialName("metrics_address")
    val metricsAddress: String? = null,
    val zones: List<ZoneLocation> = emptyList(),
    @SerialName("key_revocation")
    val keyRevocation: Milliseconds? = null,
    /** The time after a network cut from which an entry that reaches a majority of replicas must obey their versions. */
    @SerialName("contact_time")
    val contactTime: Milliseconds? = null,
    @SerialName("drain_time")
    val drainTime: Milliseconds? = null,
    /** The time after SIGTERM at which the process is killed. Requests that still wait shortly before are refused. */
    @SerialName("stop_time")
    val stopTime: Milliseconds? = null,
    val heartbeat: Milliseconds? = null,
    /**
     * Where requests of other entries arrive, whose VMs cannot reach upstreams. Without it, none are relayed, and streams go
     * on at any software version. The control replicas must run a build that knows relays.
     */
    @SerialName("relay_address")
    val relayAddress: String? = null,
    /** Whether upstreams that started or recovered get a bounded number of requests until they answer as fast as others. */
    @SerialName("warm_up")
    val warmUp: Boolean = false,
) {
    /** The link addresses of the control replicas. With [controlPort], [control] only names the VMs. */
    val controlAddresses: List<String>
        get() = if (controlPort == null) control else control.map { "${it.substringBeforeLast(':')}:$controlPort" }
}

/** An availability zone of the deployment and its region. */
@Serializable
data class ZoneLocation(
    val name: String,
    val region: String,
)

/** An entry of the same availability zone and its link address. */
@Serializable
data class ZoneEntry(
    val name: String,
    val address: String,
)

/** Returns the first invalid setting, or null. */
internal fun EntryProgramSettings.firstFailure(file: String): SettingsFailure? {
    val addresses =
        listOf(
            "http_address" to httpAddress,
            "operations_address" to operationsAddress,
            "link_address" to linkAddress,
        ) +
            control.map { "control" to it } +
            zoneEntries.map { "zone_entries.address" to it.address } +
            listOfNotNull(
                platformAddress?.let { "platform_address" to it },
                metricsAddress?.let { "metrics_address" to it },
                relayAddress?.let { "relay_address" to it },
            )
    val malformed = addresses.firstOrNull { (_, address) -> !ADDRESS.matches(address) }
    return when {
        malformed != null ->
            SettingsFailure.InvalidValue(
                file,
                malformed.first,
                "\"${malformed.second}\" is not an address",
                "write IP and port, as in \"127.0.0.1:8080\"",
            )
        name.isBlank() -> SettingsFailure.InvalidValue(file, "name", "it is empty", "give each entry its own name")
        fleetKey.isBlank() ->
            SettingsFailure.InvalidValue(file, "fleet_key", "it is empty", "use the key that all processes share")
        control.isEmpty() ->
            SettingsFailure.InvalidValue(file, "control", "it is empty", "list the control replicas, nearest first")
        (tlsCertificate == null) != (tlsKey == null) ->
            SettingsFailure.InvalidValue(
                file,
                if (tlsKey == null) "tls_key" else "tls_certificate",
                "it is missing",
                "set tls_certificate and tls_key together, or neither",
            )
        else -> null
    }
}

private val ADDRESS = Regex("""[^:\s]+:(\d{1,4}|[1-5]\d{4}|6[0-4]\d{3}|65[0-4]\d{2}|655[0-2]\d|6553[0-5])""")
