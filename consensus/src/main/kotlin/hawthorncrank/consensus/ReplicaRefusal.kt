package hawthorncrank.consensus

import hawthorncrank.common.Failure

/** The reason why a replica refused a request. A refused request has changed nothing. */
enum class ReplicaRefusal(
    override val problem: String,
    override val remedy: String,
) : Failure {
    NOT_ADMITTED("this replica belongs to no group", "form the group, or wait until the leader admits the replica"),
    NO_LEADER("no leader is known, or it has no majority", "retry in a few seconds and check that a majority runs"),
    NOT_LEADER("this replica is not the leader", "send the request to the leader"),
    ALREADY_FORMED("this replica already belongs to a group", "use the formed group; a group is formed only once"),
    GROUP_EXISTS(
        "another replica reports that the group exists",
        "wait until its leader admits this replica; do not form a second group",
    ),
    INVALID_MEMBERS(
        "the members are not valid",
        "list 1 to 7 members, including this replica, with unique names and identities",
    ),
    CHANGE_IN_PROGRESS("another membership change is in progress", "retry when it is committed"),
    ALREADY_MEMBER("the identity already is or was a member", "use the identity of a new data folder"),
    NOT_MEMBER("the identity is not a member", "look up the identities in the group's status"),
    LAST_VOTER("the group would have no voter left", "admit another replica first"),
    TOO_LARGE("the command is larger than 512 KiB", "split the command"),
    OVERLOADED("too many commands or reads wait for a majority", "retry later"),
    STOPPING("this replica is stopping", "use another replica"),
}
