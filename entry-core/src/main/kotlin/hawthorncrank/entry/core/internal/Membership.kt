package hawthorncrank.entry.core.internal

import hawthorncrank.entry.core.EntryEffect
import hawthorncrank.entry.core.Measurement
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.ListedUpstream
import hawthorncrank.protocol.RouteService
import hawthorncrank.protocol.Upstream
import hawthorncrank.protocol.UpstreamKind
import hawthorncrank.protocol.ZoneMessage
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet

/**
 * Whether a configured upstream may get new work: it is listed by the platform, not marked as leaving or drained, not
 * excluded because of failures that this entry observed, and not replaced by another one at its address.
 */
internal fun Reduction.mayGetWork(upstream: Upstream): Boolean {
    if (isLeaving(upstream) || state.membership.live?.contains(upstream.name) == false) return false
    val observation = state.membership.observed[upstream.name] ?: return true
    return isReachable(upstream, observation) && !isHeld(upstream, observation)
}

internal fun isReachable(
    upstream: Upstream,
    observation: Observation,
): Boolean = observation.excluded == null && observation.taken?.address != upstream.address

internal fun Reduction.measureUpstreams() {
    val (leaving, others) =
        state.configuration.effective.upstreams
            .partition(::isLeaving)
    val observed = others.mapNotNull { upstream -> state.membership.observed[upstream.name]?.let { upstream to it } }
    val heldOff = observed.count { (upstream, observation) -> isHeld(upstream, observation) }
    val excluded = observed.count { (upstream, observation) -> !isReachable(upstream, observation) }
    emit(EntryEffect.Measure(Measurement.UpstreamsWithoutWork(leaving.size, heldOff, excluded)))
}

internal fun Reduction.isLeaving(upstream: Upstream): Boolean {
    val membership = state.membership
    val name = upstream.name
    val marked =
        upstream.leaving || name in membership.leaving || name in membership.drained ||
            name in membership.noticedLeaving || membership.announcedLeaving[name]?.address == upstream.address
    return marked && rules.leavingUpstreamsGetNoWork
}

internal fun Reduction.upstream(name: String): Upstream? =
    state.configuration.effective.upstreams
        .firstOrNull { it.name == name }

internal fun Reduction.membershipReported(
    live: Set<String>,
    leaving: Set<String>,
) {
    val added = leaving - state.membership.leaving
    membership { it.copy(live = live.toPersistentSet(), leaving = leaving.toPersistentSet()) }
    added.filter { upstream(it) != null }.forEach { announceLeaving(it, source = "the platform's list") }
}

private fun Reduction.announceLeaving(
    name: String,
    source: String,
) {
    record(EntryDecisionEvent.UPSTREAM_LEAVING, "upstream" to name, "source" to source)
    emit(EntryEffect.SendToZone(ZoneMessage.LeavingNotice(settings.name, name)))
}

/** The mark does not depend on the platform's list, which lags and may show the upstream as ready for some time more. */
internal fun Reduction.leavingAnnounced(
    name: String,
    address: String,
) {
    if (upstream(name)?.address != address) return
    val known = state.membership.announcedLeaving[name]?.address == address
    membership { it.copy(announcedLeaving = it.announcedLeaving.put(name, LeavingAnnouncement(address, now))) }
    if (!known) announceLeaving(name, source = "an answer of the upstream")
}

internal fun Reduction.leavingNoticed(notice: ZoneMessage.LeavingNotice) {
    if (notice.entry == settings.name || upstream(notice.upstream) == null) return
    val known = notice.upstream in state.membership.noticedLeaving
    membership {
        it.copy(noticedLeaving = it.noticedLeaving.put(notice.upstream, now + NOTICE_LIFETIME_MILLISECONDS))
    }
    if (!known) {
        record(EntryDecisionEvent.UPSTREAM_LEAVING, "upstream" to notice.upstream, "source" to notice.entry)
    }
}

internal fun Reduction.drainsUpdated(update: ControlToEntry.DrainUpdate) {
    if (update.revision < state.membership.drainRevision) return
    (update.upstreams - state.membership.drained).forEach {
        record(EntryDecisionEvent.UPSTREAM_LEAVING, "upstream" to it, "source" to "a drain order")
    }
    membership { it.copy(drained = update.upstreams.toPersistentSet(), drainRevision = update.revision) }
}

/** No connection to the upstream could be opened since [startedAt]. */
internal fun Reduction.connectFailed(
    name: String,
    startedAt: Long = now,
) {
    val observation = state.membership.observed[name] ?: Observation()
    val failures = observation.connectFailures + 1
    observe(name, observation.copy(connectFailures = failures))
    if (failures >= settings.behaviour.connectFailuresToExclude) exclude(name, "$failures consecutive connect failures")
    suspectPartition(startedAt)
}

/** A single lost answer may be a connection fault. Several in a row without a complete answer are an upstream fault. */
internal fun Reduction.answerLost(name: String) {
    val observation = state.membership.observed[name] ?: Observation()
    val lost = observation.lostAnswers + 1
    observe(name, observation.copy(lostAnswers = lost))
    if (lost >= LOST_ANSWERS_TO_EXCLUDE) exclude(name, "$lost answers in a row were lost")
}

/** Another upstream has the address. A probe would reach that one, so the platform's list has to show what changed. */
internal fun Reduction.addressTaken(name: String) {
    val address = upstream(name)?.address ?: return
    val observation = state.membership.observed[name] ?: Observation()
    if (observation.taken?.address == address) return
    observe(name, observation.copy(taken = TakenAddress(address, now + TAKEN_ADDRESS_LIFETIME_MILLISECONDS)))
    record(EntryDecisionEvent.UPSTREAM_EXCLUDED, "upstream" to name, "reason" to "another upstream has its address")
}

/** Adds the listed upstreams whose service is configured to the upstreams that the configuration itself defines. */
internal fun Reduction.refreshUpstreams() {
    val configured = state.configuration.configuration
    val services = configured.routeServices.associateBy { it.name }
    val listed =
        state.membership.listed.mapNotNull { item -> services[item.service]?.let { upstreamOf(item, it) } }
    val effective = if (listed.isEmpty()) configured else configured.copy(upstreams = configured.upstreams + listed)
    configuration { it.copy(effective = effective) }
}

private fun Reduction.upstreamOf(
    listed: ListedUpstream,
    service: RouteService,
): Upstream =
    Upstream(
        name = listed.name,
        kind = if (service.servesModels) UpstreamKind.ENGINE else UpstreamKind.SERVICE,
        address = listed.address,
        availabilityZone = listed.availabilityZone,
        // A zone that is missing in the settings counts as a separate region, so that it is used last.
        region = settings.regions[listed.availabilityZone] ?: listed.availabilityZone,
        models = if (service.servesModels) listOf(service.name) else emptyList(),
        service = if (service.servesModels) null else service.name,
        slots = listed.slots,
    )

internal fun Reduction.upstreamAnswered(name: String) {
    val observation = state.membership.observed[name] ?: return
    if (observation.excluded == null) forgetFailures(name, observation)
}

/** Gives the upstream no work until a probe reaches it. The first probe starts after [firstProbe] milliseconds. */
internal fun Reduction.exclude(
    name: String,
    reason: String,
    firstProbe: Long = FIRST_PROBE_MILLISECONDS,
) {
    val observation = state.membership.observed[name] ?: Observation()
    if (observation.excluded != null) return
    val exclusion = Exclusion(reason, FIRST_PROBE_MILLISECONDS, now + firstProbe)
    observe(name, observation.copy(excluded = exclusion))
    record(EntryDecisionEvent.UPSTREAM_EXCLUDED, "upstream" to name, "reason" to reason)
}

internal fun Reduction.probeAnswered(
    name: String,
    reachable: Boolean,
) {
    val observation = state.membership.observed[name] ?: return
    val exclusion = observation.excluded ?: return
    if (reachable) {
        heardFromUpstream()
        forgetFailures(name, observation)
        return record(EntryDecisionEvent.UPSTREAM_RETURNED, "upstream" to name)
    }
    val backoff = minOf(exclusion.backoff * 2, LONGEST_BACKOFF_MILLISECONDS)
    val next = exclusion.copy(backoff = backoff, nextProbeAt = now + backoff, probing = false)
    observe(name, observation.copy(excluded = next))
}

internal fun Reduction.membershipTick() {
    val membership = state.membership
    val expired = membership.noticedLeaving.filterValues { it <= now }.keys
    if (expired.isNotEmpty()) {
        membership { it.copy(noticedLeaving = expired.fold(it.noticedLeaving) { map, key -> map.remove(key) }) }
    }
    if (now - membership.noticesSentAt >= NOTICE_REPEAT_MILLISECONDS) {
        membership { it.copy(noticesSentAt = now) }
        sendLeavingNotices()
    }
    releaseTakenAddresses()
    releaseHolds()
    forgetOldAnnouncements()
    state.membership.observed.forEach { (name, observation) ->
        if (observation.held == null) observation.excluded?.let { probe(name, observation, it) }
    }
}

/** Tells the zone, or one neighbour, which upstreams the platform, operators or they themselves mark as leaving. */
internal fun Reduction.sendLeavingNotices(recipient: String? = null) {
    val membership = state.membership
    val marked = membership.leaving + membership.drained + membership.announcedLeaving.keys
    for (name in marked) {
        if (upstream(name) == null) continue
        emit(EntryEffect.SendToZone(ZoneMessage.LeavingNotice(settings.name, name), recipient))
    }
}

/**
 * Whether the entry still waits for the platform's list. An entry that has just started does not know which upstreams
 * are leaving, so it starts no attempts before the list arrives. Without a list it continues after two polling periods.
 */
internal fun Reduction.awaitsMembership(): Boolean {
    val startedAt = state.configuration.startedAt ?: return true
    return state.membership.live == null && now - startedAt < FIRST_LIST_WAIT_MILLISECONDS &&
        rules.leavingUpstreamsGetNoWork
}

private fun Reduction.probe(
    name: String,
    observation: Observation,
    exclusion: Exclusion,
) {
    if (now < exclusion.nextProbeAt) return
    val upstream = upstream(name) ?: return
    if (exclusion.probing) return probeAnswered(name, reachable = false)
    val probing = exclusion.copy(probing = true, nextProbeAt = now + PROBE_WAIT_MILLISECONDS)
    observe(name, observation.copy(excluded = probing))
    emit(EntryEffect.ProbeUpstream(name, upstream.address))
}

private fun Reduction.forgetFailures(
    name: String,
    observation: Observation,
) {
    observe(name, Observation(taken = observation.taken, held = observation.held))
}

/** Tries an upstream again for which the platform's list still shows the address that another one had. */
private fun Reduction.releaseTakenAddresses() =
    state.membership.observed
        .filterValues { observation -> observation.taken?.let { it.until <= now } == true }
        .forEach { (name, observation) -> observe(name, observation.copy(taken = null)) }

/** Forgets upstreams that are no longer configured. */
internal fun Reduction.pruneMembership() {
    val names =
        state.configuration.effective.upstreams
            .map { it.name }
            .toSet()
    membership {
        it.copy(
            observed = (it.observed.keys - names).fold(it.observed) { map, key -> map.remove(key) },
            noticedLeaving = (it.noticedLeaving.keys - names).fold(it.noticedLeaving) { map, key -> map.remove(key) },
        )
    }
}

private fun Reduction.forgetOldAnnouncements() {
    val old =
        state.membership.announcedLeaving
            .filterValues { now - it.at >= ANNOUNCEMENT_LIFETIME_MILLISECONDS }
            .keys
    if (old.isEmpty()) return
    membership { it.copy(announcedLeaving = old.fold(it.announcedLeaving) { map, key -> map.remove(key) }) }
}

internal fun Reduction.observe(
    name: String,
    observation: Observation,
) = membership {
    it.copy(observed = if (observation.isEmpty) it.observed.remove(name) else it.observed.put(name, observation))
}

internal fun Reduction.membership(change: (MembershipState) -> MembershipState) {
    state = state.copy(membership = change(state.membership))
}

// The platform lists an upstream that has ended for some seconds more.
private const val TAKEN_ADDRESS_LIFETIME_MILLISECONDS = 10_000L
private const val LOST_ANSWERS_TO_EXCLUDE = 3
private const val FIRST_PROBE_MILLISECONDS = 1_000L
private const val LONGEST_BACKOFF_MILLISECONDS = 30_000L

// A probe without an answer within this time counts as failed. It is longer than the connect timeout of 1 s.
private const val PROBE_WAIT_MILLISECONDS = 2_000L

// The platform's list is received every second and may be older than that. Senders repeat a notice while it applies.
private const val NOTICE_LIFETIME_MILLISECONDS = 30_000L
private const val NOTICE_REPEAT_MILLISECONDS = 5_000L

// Far longer than an upstream takes to leave. Without a limit, one that starts again under its old name and address, which
// the platform's list does not tell from the old one, would never be used.
private const val ANNOUNCEMENT_LIFETIME_MILLISECONDS = 600_000L
private const val FIRST_LIST_WAIT_MILLISECONDS = 2_000L
