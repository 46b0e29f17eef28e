package hawthorncrank.entry.core

import hawthorncrank.entry.core.internal.AttemptsState
import hawthorncrank.entry.core.internal.ConfigurationState
import hawthorncrank.entry.core.internal.MembershipState
import hawthorncrank.entry.core.internal.RequestsState

/**
 * Everything that an entry decides from. It is immutable and opaque to the process, which only hands it back to the
 * reducer with the next event. Each part belongs to one feature.
 */
@ConsistentCopyVisibility
data class EntryState internal constructor(
    internal val requests: RequestsState = RequestsState(),
    internal val attempts: AttemptsState = AttemptsState(),
    internal val configuration: ConfigurationState = ConfigurationState(),
    internal val membership: MembershipState = MembershipState(),
    internal val stopping: Boolean = false,
    internal val terminated: Boolean = false,
)
