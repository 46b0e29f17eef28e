package hawthorncrank.entry.core.internal

import hawthorncrank.common.EventCode
import org.apache.logging.log4j.Level

/** The numbered log events of the entry's decisions. Each has a row in docs/events.md. */
internal enum class EntryDecisionEvent(
    override val number: Int,
    override val level: Level,
    override val text: String,
) : EventCode {
    CONFIGURATION_STAGED(1500, Level.INFO, "a configuration version is staged"),
    CONFIGURATION_APPLIED(1501, Level.INFO, "a configuration version is in force"),
    LOWER_VERSION_IGNORED(1502, Level.WARN, "a lower configuration version was ignored"),
    STARTED_FROM_NEIGHBOURS(1503, Level.WARN, "the entry started with the highest version that neighbours reported"),
    OTHER_GROUP_IGNORED(1504, Level.ERROR, "a confirmation from another group of control replicas was ignored"),
    UPSTREAM_EXCLUDED(1510, Level.WARN, "an upstream is excluded and will be probed"),
    UPSTREAM_RETURNED(1511, Level.INFO, "an upstream answered a probe and is used again"),
    UPSTREAM_LEAVING(1512, Level.INFO, "an upstream is leaving and gets no new work"),
    UPSTREAM_HELD_OFF(1513, Level.INFO, "an upstream asked for no requests for a time and gets none"),
    LIST_READ_BY_ENTRY(
        1514,
        Level.INFO,
        "the entry reads the platform's list itself because control sent none in time",
    ),
    WARM_UP_BEGAN(1515, Level.INFO, "upstreams warm up and get a bounded number of requests"),
    WARM_UP_ENDED(1516, Level.INFO, "upstreams are warm and get their full share of requests"),
    ENGINE_CRASHED(1520, Level.WARN, "an engine connection was lost with requests in flight"),
    CONTENT_CONVICTED(1521, Level.ERROR, "request content is refused because it crashed engines"),
    CONTENT_LIMITED(1522, Level.ERROR, "this entry refuses request content that ran on three engines that crashed"),
    CONVICTION_ENDED(1523, Level.INFO, "a conviction expired or was lifted"),
    UPSTREAM_CRASHED(1524, Level.WARN, "an upstream crashed with requests in flight"),
    SUSPICION_REFUTED(1525, Level.INFO, "an upstream began to answer a request with a suspected content"),
    CLAIM_UNAVAILABLE(1530, Level.WARN, "a non-idempotent call was refused because its claim was not granted in time"),
    CLAIM_ABANDONED(1531, Level.INFO, "a claim is abandoned before dispatch"),
    OUTCOME_UNKNOWN(1532, Level.ERROR, "a non-idempotent call was interrupted and its outcome is unknown"),
    OUTCOME_PENDING(1533, Level.WARN, "an answer was released before its outcome record was committed"),
    RETRY_REFUSED(1540, Level.INFO, "a request was not retried"),
    ATTEMPT_FAILED(1541, Level.INFO, "an attempt ended without a complete answer"),
    REQUEST_ENDED(1542, Level.INFO, "a request ended"),
    ATTEMPT_STARTED(1543, Level.INFO, "an attempt was sent to an upstream"),
    MACHINE_SUSPENDED(1544, Level.WARN, "the machine was suspended, or its time of day was set forward"),
    ATTEMPT_COMPLETED(1545, Level.INFO, "an attempt ended with a complete answer"),
    ATTEMPT_CANCELLED(1546, Level.INFO, "an attempt was cancelled"),
    REQUEST_RELAYED(1547, Level.INFO, "a request was sent to another entry, because no upstream can be reached"),
    PARTITION_SUSPECTED(1548, Level.WARN, "no upstream is heard from, and all are probed"),
    PARTITION_ENDED(1549, Level.INFO, "an upstream is heard from again"),
    STOP_REQUESTED(1550, Level.INFO, "the entry is stopping and finishes the requests in progress"),
    STOP_FINISHED(1551, Level.INFO, "no request is in flight and the entry terminates"),
    STOP_LEFT_RECORDS(1552, Level.ERROR, "the entry terminates with claim records that control has not acknowledged"),
    STREAM_VERSION_UNKNOWN(1556, Level.WARN, "a stream is not resumed, because the version that began it is not known"),
    USAGE_WANTED(1560, Level.INFO, "the control replica asks for counts of requests"),
    TRUE_TIME_ESTIMATED(1561, Level.INFO, "true time is known again"),
}
