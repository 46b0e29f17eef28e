package hawthorncrank.entry.core

import hawthorncrank.routing.RoutingPolicy
import hawthorncrank.scheduling.SchedulingPolicy

/** What differs between deployments in the decisions of an entry. Times are in milliseconds. */
data class EntryBehaviour(
    /** How long the last proof that the configuration is the newest holds; null where requests need no proof. */
    val confirmationLifetime: Long? = null,
    /** How long requests are still accepted after a stop was requested, while the load balancer looks elsewhere. */
    val acceptAfterStop: Long = 0,
    /** Whether a connection that breaks with a request on it means that its engine crashed. */
    val brokenConnectionIsCrash: Boolean = true,
    /** Consecutive connections that fail before an upstream is left alone for a while. */
    val connectFailuresToExclude: Int = 3,
    val scheduling: SchedulingPolicy = SchedulingPolicy(),
    val routing: RoutingPolicy = RoutingPolicy(),
)
