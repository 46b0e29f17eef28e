package hawthorncrank.control.internal

import hawthorncrank.consensus.ReplicaEvent
import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.Conviction
import hawthorncrank.protocol.Suspicion
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.plus
import kotlinx.collections.immutable.toPersistentMap

/*
 * Updates that are pushed to entries. A new version is sent at once as an unconfirmed change, and again as confirmed
 * after a read index that started later. An entry that cannot apply the change gets the whole configuration, and only
 * once it is confirmed.
 */

internal fun ControlStep.streamChange() {
    val delta = state.control.lastDelta ?: return
    record(ControlEventCode.CONFIGURATION_CHANGED, "version" to delta.version, "by" to state.control.changedBy)
    state.entryLinks.forEach { (link, session) ->
        if (session.heldVersion != delta.baseVersion || delta.baseVersion == 0L) return@forEach
        send(link, ControlToEntry.ConfigurationChange(delta, confirmed = false))
        state = state.copy(entryLinks = state.entryLinks.put(link, session.copy(heldVersion = delta.version)))
    }
    confirmEntries(state.entryLinks.keys)
}

internal fun ControlStep.streamConvictions() = state.entryLinks.keys.forEach(::sendConvictions)

internal fun ControlStep.streamDrains() = state.entryLinks.keys.forEach(::sendDrains)

internal fun ControlStep.sendConvictions(link: Long) {
    val clock = state.clock(now)
    val active =
        state.control.convictions
            .filterValues { !it.lifted && it.expiresAt > clock }
            .map { (digest, record) -> Conviction(digest, record.crashes, record.expiresAt - clock) }
    send(link, ControlToEntry.ConvictionUpdate(state.control.convictionRevision, active))
}

internal fun ControlStep.streamSuspicions() = state.entryLinks.keys.forEach(::sendSuspicions)

internal fun ControlStep.sendSuspicions(link: Long) {
    val clock = state.clock(now)
    val suspicions = state.control.questionedSuspects().map { Suspicion(it.content, clock - it.since) }
    send(link, ControlToEntry.SuspicionUpdate(suspicions))
}

internal fun ControlStep.sendDrains(link: Long) =
    send(
        link,
        ControlToEntry.DrainUpdate(
            state.control.drainRevision,
            state.control.drains.keys
                .sorted(),
        ),
    )

/** Queues these links for a confirmation. Its read starts now or, if another read is in progress, after that one. */
internal fun ControlStep.confirmEntries(links: Collection<Long>) {
    if (links.isEmpty()) return
    state = state.copy(confirmation = state.confirmation.copy(next = state.confirmation.next + links))
    startConfirmation()
}

internal fun ControlStep.startConfirmation() {
    val confirmation = state.confirmation
    if (confirmation.ticket != null || confirmation.next.isEmpty() || now < confirmation.retryAt) return
    val ticket = ticket(TicketUse.ConfirmEntries)
    val questions = confirmation.next.associateWith { state.entryLinks[it]?.question ?: 0 }.filterValues { it > 0 }
    state =
        state.copy(
            confirmation = Confirmation(ticket, current = confirmation.next, questions = questions.toPersistentMap()),
        )
    queueReplicaEvent(ReplicaEvent.RequestRead(ticket))
}

/** Nothing can be confirmed without a leader, so the links wait for the next attempt. */
internal fun ControlStep.confirmationRefused() {
    val confirmation = state.confirmation
    val waiting = confirmation.next + confirmation.current
    state = state.copy(confirmation = Confirmation(next = waiting, retryAt = now + CONFIRMATION_RETRY_MILLISECONDS))
}

/** A new leader can confirm at once what the former one did not. */
internal fun ControlStep.retryConfirmationNow() {
    state = state.copy(confirmation = state.confirmation.copy(retryAt = now))
    startConfirmation()
}

internal fun ControlStep.entriesConfirmed() {
    val links = state.confirmation.current
    val questions = state.confirmation.questions
    state = state.copy(confirmation = state.confirmation.copy(ticket = null, current = persistentSetOf()))
    links.forEach(::sendConfirmed)
    val entries =
        state.control.entries.values
            .count { it.replica != null }
    questions.forEach { (link, question) ->
        val group =
            state.replica.group
                ?.takeIf { state.entryLinks[link]?.asksGroup == true }
                .orEmpty()
        send(link, ControlToEntry.ConfigurationConfirmed(question, state.control.version, entries, group))
    }
    startConfirmation()
}

private fun ControlStep.sendConfirmed(link: Long) {
    val session = state.entryLinks[link] ?: return
    val version = state.control.version
    if (version == 0L || session.confirmedVersion == version) return
    val delta = state.control.lastDelta?.takeIf { it.version == version && it.baseVersion > 0 }
    val fits = delta != null && session.heldVersion in delta.baseVersion..version && session.heldVersion > 0
    if (delta != null && fits) {
        send(link, ControlToEntry.ConfigurationChange(delta, confirmed = true))
    } else {
        send(link, ControlToEntry.ConfigurationUpdate(version, state.control.configuration, confirmed = true))
    }
    val updated = session.copy(heldVersion = version, confirmedVersion = version)
    state = state.copy(entryLinks = state.entryLinks.put(link, updated))
}

internal fun Confirmation.without(link: Long) = copy(current = current.remove(link), next = next.remove(link))

private const val CONFIRMATION_RETRY_MILLISECONDS = 500L
