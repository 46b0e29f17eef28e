package hawthorncrank.operator.internal

import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.enum
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.mapBoth
import hawthorncrank.protocol.Configuration
import hawthorncrank.protocol.OperatorAnswer
import hawthorncrank.protocol.OperatorCommand
import kotlinx.serialization.json.Json

/** Checks a configuration file. It needs settings only to read the version in force and never sends a change. */
internal class CheckCommand : GroupCommand("check", "Check a configuration file; changes nothing") {
    private val file by argument().path()
    private val againstCurrent by option(help = "also name the differences from the version in force").flag()
    private val format by option(
        help = "output format",
    ).enum<CheckFormat> { it.name.lowercase() }.default(CheckFormat.TEXT)
    private val strict by option(help = "exit with 1 if there are warnings").flag()

    override fun run() {
        val report =
            readConfigurationFile(file).mapBoth(
                success = ::reportOn,
                failure = { CheckReport(file.toString(), listOf(errorOf(it))) },
            )
        when (format) {
            CheckFormat.TEXT -> report.lines().forEach { echo(it) }
            CheckFormat.JSON -> echo(Json.encodeToString(CheckReport.serializer(), report))
        }
        val code = report.exitCode(strict)
        if (code != 0) throw ProgramResult(code)
    }

    private fun reportOn(configuration: Configuration): CheckReport {
        val report = CheckReport(file.toString(), checkConfiguration(configuration))
        if (!againstCurrent) return report
        val answer = session.ask(OperatorCommand.ShowConfiguration)
        if (answer !is OperatorAnswer.CurrentConfiguration) {
            throw CliktError(printed(answer).lines.joinToString("\n"), statusCode = EXIT_ERRORS)
        }
        return report.copy(
            currentVersion = answer.version,
            differences = differencesBetween(answer.configuration, configuration),
        )
    }
}
