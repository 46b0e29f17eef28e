@file:OptIn(ExperimentalSerializationApi::class)

package hawthorncrank.protocol

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborLabel

/** Permanently identifies one non-idempotent call by its organisation and the key that the caller chose. */
@Serializable
data class ClaimKey(
    @CborLabel(1) val organisation: String,
    @CborLabel(2) val idempotencyKey: String,
)

/**
 * The control group's answer to a claim request. Claim numbers increase with every grant and serve as fencing tokens
 * for later records.
 */
@Serializable
sealed interface ClaimDecision {
    /** The entry may dispatch the call once, with this claim number. */
    @Serializable
    data class Granted(
        val claimNumber: Long,
    ) : ClaimDecision

    /** Another attempt holds the claim and has not recorded an outcome. */
    @Serializable
    data class HeldByOther(
        val entry: String,
        val claimNumber: Long,
    ) : ClaimDecision

    /** The call has run; [outcome] is what was recorded for it. */
    @Serializable
    data class Finished(
        val outcome: CallOutcome,
    ) : ClaimDecision

    /** The key was already used for a request with different content. */
    @Serializable
    data object DigestMismatch : ClaimDecision

    /** The call was dispatched, and it cannot be determined whether it ran. */
    @Serializable
    data class OutcomeUnknown(
        val claimNumber: Long,
    ) : ClaimDecision

    /** No majority answered in time. The entry must not dispatch the call and abandons the claim. */
    @Serializable
    data object Unavailable : ClaimDecision
}

/** How a dispatched call ended. */
@Serializable
sealed interface CallOutcome {
    /** The upstream answered; [body] is null when it was too large to keep. */
    @Serializable
    @SerialName("answered")
    data class Answered(
        @CborLabel(1) val status: Int,
        @CborLabel(2) val contentType: String,
        @CborLabel(3) @ByteString val body: ByteArray?,
        @CborLabel(4) val bodyDigest: String,
    ) : CallOutcome {
        override fun equals(other: Any?): Boolean =
            other is Answered &&
                status == other.status &&
                contentType == other.contentType &&
                bodyDigest == other.bodyDigest &&
                body.contentEquals(other.body)

        override fun hashCode(): Int = bodyDigest.hashCode() * 31 + status
    }

    /** The connection broke after dispatch. */
    @Serializable
    @SerialName("unknown")
    data object Unknown : CallOutcome
}

/** The largest answer body that the control group stores for answering repeated requests. */
const val RECORDED_BODY_LIMIT_BYTES = 16 * 1024
