package hawthorncrank.entry.core

/** A value for the metrics, measured on the control thread. */
sealed interface Measurement {
    /**
     * A request ended. Times are in milliseconds since its arrival. [targetsMet] is set if it met all class targets.
     */
    data class RequestEnded(
        val organisation: String,
        val className: String,
        val result: RequestResult,
        val waited: Long,
        val firstByte: Long?,
        val total: Long,
        val tokens: Int,
        val targetsMet: Boolean,
    ) : Measurement

    /** Tokens that were generated but did not reach a caller. */
    data class TokensWasted(
        val className: String,
        val tokens: Int,
        val reason: CancelReason?,
    ) : Measurement

    data class QueueLength(
        val className: String,
        val requests: Int,
        val bytes: Long,
    ) : Measurement

    /** How many configured upstreams get no requests because they leave, asked for none, or could not be reached. */
    data class UpstreamsWithoutWork(
        val leaving: Int,
        val heldOff: Int,
        val excluded: Int,
    ) : Measurement

    /** How many upstreams that started or recovered get a bounded number of requests. */
    data class WarmingUpstreams(
        val count: Int,
    ) : Measurement

    /** The machine was suspended, or its time of day was set forward. */
    data object Suspended : Measurement

    data class CrossRegionBytes(
        val organisation: String,
        val bytes: Long,
    ) : Measurement
}

enum class RequestResult { COMPLETED, REFUSED, INTERRUPTED, CALLER_LEFT }
