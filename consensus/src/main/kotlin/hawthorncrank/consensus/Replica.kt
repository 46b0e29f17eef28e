package hawthorncrank.consensus

import hawthorncrank.common.Reducer
import hawthorncrank.common.Transition
import hawthorncrank.consensus.internal.Safeguards
import hawthorncrank.consensus.internal.fileReplicaStorage
import hawthorncrank.consensus.internal.initialTransition
import hawthorncrank.consensus.internal.reduceReplica
import java.nio.file.Path

/**
 * Creates the reducer of one replica, which implements the consensus protocol as a pure function.
 *
 * The caller opens the storage, gets the initial state from [startReplica], and then reduces one event at a time and
 * executes the effects in order.
 */
fun replicaReducer(settings: ReplicaSettings): Reducer<ReplicaState, ReplicaEvent, ReplicaEffect> =
    Reducer { state, event, now -> reduceReplica(settings, Safeguards(), state, event, now) }

/**
 * Returns the initial state of a replica and the effects that restore the application from the snapshot, if there is
 * one. Records after the snapshot are applied once they are known to be committed. [seed] must differ between starts.
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
