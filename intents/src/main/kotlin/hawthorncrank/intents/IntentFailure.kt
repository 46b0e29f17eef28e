package hawthorncrank.intents

import hawthorncrank.common.Failure

/** Why no plan was made for an intent. Input is never guessed at: the remedy says what would be accepted. */
sealed interface IntentFailure : Failure {
    data class NotUnderstood(
        val sentence: String,
        val nearest: List<String>,
    ) : IntentFailure {
        override val problem = "\"$sentence\" is not an intent"
        override val remedy = "write one of: ${nearest.joinToString("; ")}"
    }

    data class UnknownName(
        val kind: String,
        val name: String,
        val nearest: List<String>,
    ) : IntentFailure {
        override val problem = "no $kind is called \"$name\""
        override val remedy =
            when {
                nearest.isEmpty() -> "there is none yet; look at the configuration and the history"
                else -> "write one of: ${nearest.joinToString()}"
            }
    }

    data class AmbiguousName(
        val kind: String,
        val name: String,
        val candidates: List<String>,
    ) : IntentFailure {
        override val problem = "\"$name\" fits several of kind $kind"
        override val remedy = "write one of: ${candidates.joinToString()}"
    }

    data class InvalidNumber(
        val text: String,
        override val remedy: String,
    ) : IntentFailure {
        override val problem = "\"$text\" is out of range"
    }

    data class NothingToChange(
        val detail: String,
    ) : IntentFailure {
        override val problem = detail
        override val remedy = "no plan is needed"
    }

    data class MalformedFile(
        val detail: String,
        override val remedy: String,
    ) : IntentFailure {
        override val problem = detail
    }
}
