package hawthorncrank.control.internal

import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EntryToControl

/**
 * Answers an entry that asks for the platform's list, so that hundreds of entries need not all call the platform. An entry
 * that gets no answer reads the list itself, so a list that is too old is not sent.
 */
internal fun ControlStep.handleListRequest(
    link: Long,
    message: EntryToControl.ListUpstreams,
) {
    val list = state.upstreamList.copy(wantedAt = now).with(state.slowEngines)
    state = state.copy(upstreamList = list)
    val age = list.readAt?.let { now - it } ?: return
    if (age > LONGEST_AGE_MILLISECONDS || list.sent.size > MAXIMUM_UPSTREAMS_SENT) return
    val readsSoftware = state.entryLinks[link]?.readsSoftware == true
    val revision = if (readsSoftware) list.revision else list.revisionWithoutSoftware
    val upstreams = if (readsSoftware) list.sent else list.sentWithoutSoftware
    val changed = upstreams.takeIf { message.heldRevision != revision }
    send(link, ControlToEntry.UpstreamList(message.question, revision, age, changed))
}

/** Reads the list once per second while entries ask for it, one reading at a time. */
internal fun ControlStep.readUpstreamList() {
    val list = state.upstreamList
    val wanted = list.wantedAt?.let { now - it < WANTED_MILLISECONDS } == true
    val sinceAsked = list.askedAt?.let { now - it } ?: Long.MAX_VALUE
    if (!wanted || sinceAsked < READ_INTERVAL_MILLISECONDS) return
    if (list.reading && sinceAsked < LOST_READING_MILLISECONDS) return
    state = state.copy(upstreamList = list.copy(askedAt = now, reading = true))
    emit(ControlEffect.ReadUpstreamList(now))
}

internal fun ControlStep.upstreamsListed(event: ControlEvent.UpstreamsListed) {
    val list = state.upstreamList
    if (event.askedAt != list.askedAt) return
    val ended = list.copy(reading = false)
    state = state.copy(upstreamList = event.upstreams?.let { ended.read(it, event.askedAt) } ?: ended)
    event.upstreams?.let(::noteVersions)
}

private const val READ_INTERVAL_MILLISECONDS = 1_000L

// The process ends a reading before this.
private const val LOST_READING_MILLISECONDS = 5_000L

// Entries ask twice per second, and link to another replica when this one has been silent for less than this.
private const val WANTED_MILLISECONDS = 5_000L

// Together with the time that the entry adds, this stays below the age at which it reads the list itself.
private const val LONGEST_AGE_MILLISECONDS = 1_500L

// A longer list may exceed the size of a message.
private const val MAXIMUM_UPSTREAMS_SENT = 10_000
