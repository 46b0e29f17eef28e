package hawthorncrank.consensus.internal

import hawthorncrank.common.EventCode
import org.apache.logging.log4j.Level

/** The log events of the module, described in `docs/events.md`. */
internal enum class ConsensusEvent(
    override val number: Int,
    override val level: Level,
    override val text: String,
) : EventCode {
    GROUP_FORMED(3000, Level.INFO, "group formed"),
    GROUP_JOINED(3001, Level.INFO, "admitted to the group"),
    ELECTION_STARTED(3002, Level.INFO, "election started"),
    LEADER_ELECTED(3003, Level.INFO, "this replica became the leader"),
    LEADER_STEPPED_DOWN(3004, Level.WARN, "this replica is no longer the leader"),
    MAJORITY_LOST(3005, Level.WARN, "the leader lost contact with a majority of the voters"),
    MEMBERSHIP_CHANGED(3006, Level.INFO, "membership changed"),
    JOIN_IGNORED(3007, Level.WARN, "request to join ignored"),
    SNAPSHOT_SAVED(3008, Level.INFO, "snapshot saved"),
    SNAPSHOT_INSTALLED(3009, Level.INFO, "snapshot received from the leader was installed"),
    IDENTITY_RETIRED(3010, Level.ERROR, "this identity was replaced; the replica asks to be admitted again"),
    TAIL_TRUNCATED(3011, Level.WARN, "unsynced tail of the log truncated"),
    REPLICA_WAITING(3012, Level.WARN, "a replica asks to join, but the group has all its voters"),
    ADMISSION_AWAITED(3013, Level.WARN, "a group exists, and this replica waits to be admitted"),
    VOTER_LEAVING(3014, Level.INFO, "a voter is about to stop and offers its place"),
    LEARNER_RELEASED(3015, Level.INFO, "a learner was released because the voter that it was to replace is back"),
    FORMATION_WITHHELD(3016, Level.WARN, "this seed forms no group, because a group may exist"),
}
