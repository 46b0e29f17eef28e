package hawthorncrank.entry.core

import hawthorncrank.entry.core.internal.AttemptsState
import hawthorncrank.entry.core.internal.ClaimsState
import hawthorncrank.entry.core.internal.ConfigurationState
import hawthorncrank.entry.core.internal.ConfirmationState
import hawthorncrank.entry.core.internal.ControlLink
import hawthorncrank.entry.core.internal.CrashEvidenceState
import hawthorncrank.entry.core.internal.EngineDemandState
import hawthorncrank.entry.core.internal.Explanations
import hawthorncrank.entry.core.internal.MembershipState
import hawthorncrank.entry.core.internal.PartitionState
import hawthorncrank.entry.core.internal.RelayState
import hawthorncrank.entry.core.internal.RequestsState
import hawthorncrank.entry.core.internal.RetryBudget
import hawthorncrank.entry.core.internal.StopState
import hawthorncrank.entry.core.internal.StreamsState
import hawthorncrank.entry.core.internal.SuspectsState
import hawthorncrank.entry.core.internal.UsageState
import hawthorncrank.entry.core.internal.ZoneState
import hawthorncrank.routing.Router
import hawthorncrank.scheduling.Scheduler

/**
 * The state on which an entry bases its decisions. It is immutable and opaque to the process, which passes it back to
 * the reducer with the next event. Each property belongs to one feature.
 */
@ConsistentCopyVisibility
data class EntryState internal constructor(
    internal val scheduler: Scheduler,
    internal val router: Router,
    internal val zone: ZoneState,
    internal val requests: RequestsState = RequestsState(),
    internal val attempts: AttemptsState = AttemptsState(),
    internal val claims: ClaimsState = ClaimsState(),
    internal val budget: RetryBudget = RetryBudget(),
    internal val suspects: SuspectsState = SuspectsState(),
    internal val crashEvidence: CrashEvidenceState = CrashEvidenceState(),
    internal val configuration: ConfigurationState = ConfigurationState(),
    internal val membership: MembershipState = MembershipState(),
    internal val controlLink: ControlLink = ControlLink(),
    internal val explanations: Explanations = Explanations(),
    internal val stop: StopState = StopState(),
    internal val confirmation: ConfirmationState = ConfirmationState(),
    internal val usage: UsageState = UsageState(),
    internal val engineDemand: EngineDemandState = EngineDemandState(),
    internal val partition: PartitionState = PartitionState(),
    internal val relays: RelayState = RelayState(),
    internal val streams: StreamsState = StreamsState(),
    internal val reportedReady: Boolean = false,
    internal val statusSentAt: Long = 0,
    internal val measuredAt: Long = 0,
) {
    /** The number of requests without a final answer, for the process's status page. */
    val requestsInProgress: Int
        get() = requests.active.size

    val ready: Boolean
        get() = configuration.inForce && !stop.requested
}
