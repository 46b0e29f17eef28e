package hawthorncrank.intents

import hawthorncrank.common.Failure

/** Why a proposed configuration is not valid. Each kind names the field and how to correct it. */
sealed interface ConfigurationFailure : Failure {
    val field: String

    data class DuplicateName(
        override val field: String,
        val name: String,
    ) : ConfigurationFailure {
        override val problem = "$field: \"$name\" appears more than once"
        override val remedy = "give each item its own name"
    }

    data class InvalidName(
        override val field: String,
        val name: String,
    ) : ConfigurationFailure {
        override val problem = "$field: \"$name\" is not a name"
        override val remedy = "write 1 to 64 letters, digits, spaces, dots, dashes or underscores"
    }

    data class UnknownReference(
        override val field: String,
        val name: String,
        val kind: String,
    ) : ConfigurationFailure {
        override val problem = "$field: there is no $kind \"$name\""
        override val remedy = "add the $kind or correct the name"
    }

    data class OutOfRange(
        override val field: String,
        val value: Long,
        val minimum: Long,
        val maximum: Long,
    ) : ConfigurationFailure {
        override val problem = "$field: $value is out of range"
        override val remedy = "write a number from $minimum to $maximum"
    }

    data class MalformedAddress(
        override val field: String,
        val address: String,
    ) : ConfigurationFailure {
        override val problem = "$field: \"$address\" is not an address"
        override val remedy = "write an IP address and a port, as in 10.0.0.7:8000"
    }

    data class MalformedKeyHash(
        override val field: String,
    ) : ConfigurationFailure {
        override val problem = "$field: an element is not a key hash"
        override val remedy = "write the line that \"hawthorncrank hash-key\" prints"
    }

    data class Missing(
        override val field: String,
        override val remedy: String,
    ) : ConfigurationFailure {
        override val problem = "$field: nothing is given"
    }

    data class InvalidValue(
        override val field: String,
        val detail: String,
        override val remedy: String,
    ) : ConfigurationFailure {
        override val problem = "$field: $detail"
    }
}
