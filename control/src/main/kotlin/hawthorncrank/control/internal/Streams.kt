package hawthorncrank.control.internal

import hawthorncrank.protocol.ControlToEntry
import hawthorncrank.protocol.EntryToControl
import hawthorncrank.protocol.ListedUpstream
import hawthorncrank.protocol.STREAM_LIFETIME_MILLISECONDS
import hawthorncrank.protocol.StreamNotice
import hawthorncrank.protocol.serviceVersion

/*
 * Replicas keep which version of the upstreams' software began each recent stream, so that any entry can take it up again.
 * The knowledge outlives entries, but is neither stored nor agreed on: a replica that does not know a stream says so.
 */

internal fun ControlStep.streamBegan(message: EntryToControl.StreamBegan) {
    noteStream(message.stream, message.software)
    val self = state.replica.self.name
    state.replica.membership.voters
        .filter { it.name != self }
        .forEach { emit(ControlEffect.NotifyReplica(it.name, StreamNotice(message.stream, message.software))) }
}

internal fun ControlStep.noteStream(
    stream: String,
    software: String,
) {
    state = state.copy(streams = state.streams.begun(stream, software, now))
}

/** Answers which version began a stream. A replica that has just started does not know which versions were listed before. */
internal fun ControlStep.findStream(
    link: Long,
    question: EntryToControl.FindStream,
) {
    val software = state.streams.softwareOf(question.stream)
    val justStarted = now - state.startedAt < STREAM_LIFETIME_MILLISECONDS
    val versions = state.streams.versionsOf(question.service)
    val ambiguous = versions > 1 || versions == 1 && justStarted
    send(link, ControlToEntry.StreamFound(question.stream, software, ambiguous && software == null))
}

internal fun ControlStep.noteVersions(upstreams: List<ListedUpstream>) {
    val versions = upstreams.mapNotNullTo(HashSet()) { it.serviceVersion }
    if (versions.isNotEmpty()) state = state.copy(streams = state.streams.listed(versions, now))
}
