package hawthorncrank.consensus

import hawthorncrank.common.Reducer
import hawthorncrank.common.Transition
import hawthorncrank.consensus.internal.Safeguards
import hawthorncrank.consensus.internal.fileReplicaStorage
import hawthorncrank.consensus.internal.initialTransition
import hawthorncrank.consensus.internal.reduceReplica
import java.nio.file.Path

/**
 * Creates the agreement of one replica as a pure function.
 *
 * The owner opens the storage, starts from [startReplica], and from then on reduces one event at a time and carries out
 * the effects in order.
 */
fun replicaReducer(settings: ReplicaSettings): Reducer<ReplicaState, ReplicaEvent, ReplicaEffect> =
    Reducer { state, event, now -> reduceReplica(settings, Safeguards(), state, event, now) }

/**
 * The state of a replica after its start, and the effects that rebuild the application: the snapshot, if any. Records
 * after it are applied once they are known to be committed. [seed] must differ between starts.
 */
fun startReplica(
    settings: ReplicaSettings,
    name: String,
    address: String,
    recovered: RecoveredReplica,
    seed: Long,
    now: Long,
): Transition<ReplicaState, ReplicaEffect> = initialTransition(settings, name, address, recovered, seed, now)

/** Creates the file storage of a replica under [folder]. */
fun replicaStorage(folder: Path): ReplicaStorage = fileReplicaStorage(folder)
