package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.ListedUpstream
import hawthorncrank.protocol.revision
import kotlinx.collections.immutable.toPersistentList

/**
 * Decides where the platform's list comes from. The load that this answers: hundreds of entries that each ask the platform
 * every second, which it limits and charges for. A control replica reads the list for its entries. An entry whose list is
 * too old reads it itself, so it does not depend on control to learn which upstreams are leaving.
 */
internal fun Reduction.upstreamListTick() {
    if (!settings.behaviour.listFromControl) return
    val requestedAt = state.membership.listSource.requestedAt
    if (state.controlLink.open && (requestedAt == null || now - requestedAt >= REQUEST_INTERVAL_MILLISECONDS)) {
        requestUpstreamList()
    }
    updateOwnPolls()
}

internal fun Reduction.requestUpstreamList() {
    if (!settings.behaviour.listFromControl) return
    listSource { it.copy(requestedAt = now) }
    emit(EntryEffect.SendToControl(EntryToControl.ListUpstreams(now, state.membership.listSource.revision)))
}

/** The age of the list counts from the question, because the answer may have been delayed on its way. */
internal fun Reduction.upstreamListReceived(message: ControlToEntry.UpstreamList) {
    if (message.age < 0 || message.question > now) return
    val readAt = message.question - message.age
    if (readAt < (state.membership.listedAt ?: Long.MIN_VALUE)) return
    val upstreams = message.upstreams
    when {
        upstreams != null -> upstreamsListed(upstreams, readAt)
        message.revision == state.membership.listSource.revision -> membership { it.copy(listedAt = readAt) }
    }
}

/** Applies the platform's list. Work that runs on an upstream that is no longer listed continues. */
internal fun Reduction.upstreamsListed(
    listed: List<ListedUpstream>,
    readAt: Long,
) {
    membership { it.copy(listedAt = readAt) }
    if (state.membership.live != null && listed == state.membership.listed) return
    val before = state.membership.listed
    membership { it.copy(listed = listed.toPersistentList()) }
    if (settings.behaviour.listFromControl) listSource { it.copy(revision = listed.revision()) }
    upstreamsChanged()
    updateSlowdowns()
    updateSoftware(before)
    val leaving = listed.filter { it.leaving }.map { it.name }
    membershipReported(listed.map { it.name }.toSet(), leaving.toSet())
}

/** The list as the platform gives it does not tell which engines are slow, so what control last said holds. */
internal fun Reduction.withKnownSlowdowns(listed: List<ListedUpstream>): List<ListedUpstream> {
    val known =
        state.membership.listed
            .filter { it.slowdown != null }
            .associateBy({ it.name }, { it.slowdown })
    return if (known.isEmpty()) listed else listed.map { it.copy(slowdown = known[it.name]) }
}

private fun Reduction.updateSlowdowns() {
    val slow =
        state.membership.listed.mapNotNull { item ->
            item.slowdown?.takeIf { it > 1.0 }?.let { item.name to it }
        }
    state = state.copy(router = state.router.setSlowdowns(slow.toMap()))
}

/** How long ago the platform's list was last read, in milliseconds. */
internal val Reduction.listAge: Long?
    get() = state.membership.listedAt?.let { now - it }

private fun Reduction.updateOwnPolls() {
    val needed = needsOwnPolls()
    if (needed == state.membership.listSource.own) return
    listSource { it.copy(own = needed) }
    emit(EntryEffect.PollUpstreamList(needed))
    if (needed) record(EntryDecisionEvent.LIST_READ_BY_ENTRY, "list_age" to listAge, "linked" to state.controlLink.open)
}

private fun Reduction.needsOwnPolls(): Boolean {
    val startedAt = state.configuration.startedAt ?: return false
    val age = listAge
    if (age != null) return age >= LONGEST_AGE_MILLISECONDS
    return !state.controlLink.open || now - startedAt >= FIRST_ANSWER_WAIT_MILLISECONDS
}

private fun Reduction.listSource(change: (ListSource) -> ListSource) =
    membership { it.copy(listSource = change(it.listSource)) }

private const val REQUEST_INTERVAL_MILLISECONDS = 500L

// A leaving upstream gets new work until a list says so: this age, a reading of the entry's own and the list's delay add
// up.
private const val LONGEST_AGE_MILLISECONDS = 2_000L
private const val FIRST_ANSWER_WAIT_MILLISECONDS = 300L
