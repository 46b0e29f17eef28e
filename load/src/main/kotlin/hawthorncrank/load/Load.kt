package hawthorncrank.load

import hawthorncrank.common.EventLog
import hawthorncrank.load.internal.Ending
import hawthorncrank.load.internal.LoadRun
import hawthorncrank.load.internal.Report
import hawthorncrank.load.internal.duplicateRuns
import hawthorncrank.load.internal.report
import hawthorncrank.load.internal.table
import hawthorncrank.load.internal.writeLatencyPlot
import kotlinx.serialization.json.Json
import java.nio.file.Path
import kotlin.io.path.createDirectories
import kotlin.io.path.writeText

/** Runs [workload] and writes `result.json` and `latency.png` to [folder]. */
fun runLoad(
    workload: Workload,
    folder: Path,
    log: EventLog,
    progress: (String) -> Unit,
): LoadOutcome {
    val results = LoadRun(workload, log, progress).run()
    val report = report(workload, results, duplicateRuns(workload.services))
    folder.createDirectories()
    folder.resolve("result.json").writeText(json.encodeToString(Report.serializer(), report))
    writeLatencyPlot(workload, results, folder.resolve("latency.png"))
    val correct = results.none { it.ending == Ending.WRONG } && (report.duplicates ?: 0) == 0L
    return LoadOutcome(table(report), correct)
}

private val json = Json { prettyPrint = true }
