package hawthorncrank.operator.internal

import com.akuleshov7.ktoml.Toml
import com.akuleshov7.ktoml.TomlIndentation
import com.akuleshov7.ktoml.TomlOutputConfig
import hawthorncrank.protocol.Configuration

/** Writes a configuration as the TOML that operators edit and propose. */
internal fun configurationLines(configuration: Configuration): List<String> =
    toml.encodeToString(Configuration.serializer(), configuration).lines()

private val toml = Toml(outputConfig = TomlOutputConfig(indentation = TomlIndentation.NONE))
