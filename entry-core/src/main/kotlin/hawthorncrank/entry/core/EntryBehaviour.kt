package hawthorncrank.entry.core

import hawthorncrank.routing.RoutingPolicy
import hawthorncrank.scheduling.SchedulingPolicy

/** Deployment-specific options for the decisions of an entry. Times are in milliseconds. */
data class EntryBehaviour(
    /** How long a confirmation that the configuration is the newest stays valid; null where requests need none. */
    val confirmationLifetime: Long? = null,
    /** How long requests are still accepted after a stop was requested, until the load balancer stops sending them. */
    val acceptAfterStop: Long = 0,
    /** How long after a requested stop the process may be killed; null if it is given the time that it needs. */
    val stopTime: Long? = null,
    /** Whether a connection that is lost during a request counts as a crash of its engine. */
    val brokenConnectionIsCrash: Boolean = true,
    /** Consecutive failed connection attempts after which an upstream is excluded and probed. */
    val connectFailuresToExclude: Int = 3,
    /** Whether control replicas send the platform's list, which the entry then reads itself only without them. */
    val listFromControl: Boolean = false,
    /** Whether the requests at an upstream that started or recovered are bounded until it answers as fast as others. */
    val warmUp: Boolean = false,
    /** Whether a stream goes on only at upstreams with the version of software that began it. */
    val separatesSoftware: Boolean = false,
    val scheduling: SchedulingPolicy = SchedulingPolicy(),
    val routing: RoutingPolicy = RoutingPolicy(),
)
