package hawthorncrank.common

/** Why a program could not start from its settings. Each kind prints as one line. */
sealed interface SettingsFailure : Failure {
    data class UnreadableFile(
        val file: String,
        val detail: String,
    ) : SettingsFailure {
        override val problem = "$file: cannot be read ($detail)"
        override val remedy = "check the path and the file's permissions"
    }

    data class UnknownKey(
        val file: String,
        val key: String,
    ) : SettingsFailure {
        override val problem = "$file: unknown key \"$key\""
        override val remedy = "remove it or correct its spelling; the sample settings list every key"
    }

    data class InvalidValue(
        val file: String,
        val key: String,
        val detail: String,
        override val remedy: String,
    ) : SettingsFailure {
        override val problem = "$file: key \"$key\": $detail"
    }

    data class MalformedFile(
        val file: String,
        val detail: String,
    ) : SettingsFailure {
        override val problem = "$file: not valid TOML for this program: $detail"
        override val remedy = "compare the named line and key with the sample settings"
    }

    data class PortInUse(
        val file: String,
        val key: String,
        val address: String,
    ) : SettingsFailure {
        override val problem = "$file: key \"$key\": $address is already in use"
        override val remedy = "stop the other process or choose another port"
    }

    data class UnwritableFolder(
        val file: String,
        val key: String,
        val folder: String,
    ) : SettingsFailure {
        override val problem = "$file: key \"$key\": the folder $folder cannot be written"
        override val remedy = "create it and give this program's user write permission"
    }
}
