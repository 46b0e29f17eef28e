package hawthorncrank.consensus.internal

import hawthorncrank.common.Transition
import hawthorncrank.consensus.RecoveredReplica
import hawthorncrank.consensus.ReplicaEffect
import hawthorncrank.consensus.ReplicaEvent
import hawthorncrank.consensus.ReplicaSettings
import hawthorncrank.consensus.ReplicaState
import hawthorncrank.consensus.ReplicaStorage
import java.nio.file.Path

@Suppress("UnusedParameter", "LongParameterList")
internal fun initialTransition(
    settings: ReplicaSettings,
    name: String,
    address: String,
    recovered: RecoveredReplica,
    seed: Long,
    now: Long,
): Transition<ReplicaState, ReplicaEffect> = throw UnsupportedOperationException("not yet written")

@Suppress("UnusedParameter")
internal fun reduceReplica(
    settings: ReplicaSettings,
    state: ReplicaState,
    event: ReplicaEvent,
    now: Long,
): Transition<ReplicaState, ReplicaEffect> = throw UnsupportedOperationException("not yet written")

@Suppress("UnusedParameter")
internal fun fileReplicaStorage(folder: Path): ReplicaStorage = throw UnsupportedOperationException("not yet written")
