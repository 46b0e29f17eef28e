@file:UseSerializers(PersistentMapSerializer::class)

package hawthorncrank.control

import hawthorncrank.control.internal.PersistentMapSerializer
import hawthorncrank.protocol.ClaimKey
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.ConfigurationDelta
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.Serializable
import kotlinx.serialization.UseSerializers

/**
 * Everything that the control group agrees on. It changes only by applying committed commands, so all replicas that have
 * applied the same records hold equal states, and its serialized form is the snapshot.
 *
 * All maps keep their order of insertion, which makes the oldest element the first and the serialized form the same on
 * every replica. [clock] counts milliseconds on the replicated clock; retention and expiry are measured on it.
 */
@Serializable
data class ControlState(
    val clock: Long = 0,
    val version: Long = 0,
    val configuration: Configuration = Configuration(),
    val changedBy: String = "",
    val changedAtWallTime: Long = 0,
    val lastDelta: ConfigurationDelta? = null,
    val document: OperatorDocument? = null,
    val stagedChanges: PersistentMap<String, StagedChange> = persistentMapOf(),
    val history: PersistentMap<Long, HistoryEntry> = persistentMapOf(),
    val nextHistoryNumber: Long = 1,
    val answers: PersistentMap<String, CommandResult> = persistentMapOf(),
    val attempts: PersistentMap<String, AttemptAnswer> = persistentMapOf(),
    val claims: PersistentMap<ClaimKey, ClaimRecord> = persistentMapOf(),
    val finishedClaims: PersistentMap<Long, FinishedClaim> = persistentMapOf(),
    val nextClaimNumber: Long = 1,
    val entries: PersistentMap<String, EntryPresence> = persistentMapOf(),
    val convictions: PersistentMap<String, ConvictionRecord> = persistentMapOf(),
    val convictionRevision: Long = 0,
    val crashEvidence: CrashEvidence = CrashEvidence(),
    val drains: PersistentMap<String, String> = persistentMapOf(),
    val drainRevision: Long = 0,
    val plans: PersistentMap<Long, PlanRecord> = persistentMapOf(),
    val nextPlanNumber: Long = 1,
    val orders: PersistentMap<String, OrderRecord> = persistentMapOf(),
    val weightTokens: WeightTokens = WeightTokens(),
    val duties: DutyState = DutyState(),
    val usage: UsageState = UsageState(),
    val engineCounts: EngineCountState = EngineCountState(),
    val slowEngines: PersistentMap<String, Double> = persistentMapOf(),
)

/** How long a finished claim answers resends, on the replicated clock. Afterwards its key is free. */
const val FINISHED_CLAIM_RETENTION_MILLISECONDS = 24L * 60 * 60 * 1_000

/**
 * The outcome of a claim that is held for this long counts as unknown, because no call runs longer. The claim is not
 * released: only an operator can say whether the call ran.
 */
const val HELD_CLAIM_LIMIT_MILLISECONDS = 10L * 60 * 1_000

/** A conviction expires this long after the last crash that was reported. */
const val CONVICTION_MILLISECONDS = 60L * 60 * 1_000

/** The number of operator commands, and separately of claim attempts, whose answers are remembered. */
const val REMEMBERED_COMMANDS = 10_000

/** The number of history entries kept: three weeks at the planned 460 changes a day. */
const val HISTORY_LIMIT = 10_000
