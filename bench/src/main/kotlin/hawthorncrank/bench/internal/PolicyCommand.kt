package hawthorncrank.bench.internal

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import java.util.concurrent.Callable
import java.util.concurrent.Executors

/** Compares the product's policy with baselines on equal workloads. The same options always print the same results. */
internal class PolicyCommand : CliktCommand(name = "policy") {
    private val seeds by option(help = "number of seeds").int().restrictTo(1..200).default(20)
    private val firstSeed by option(help = "the first seed").int().default(1)
    private val seconds by option(help = "virtual seconds of each run").int().restrictTo(10..3_600).default(600)
    private val load by option(help = "factor on the demand; 1.0 is twice the capacity").double().default(1.0)
    private val withoutBursts by option("--no-bursts", help = "leave out the bursts of single classes").flag()
    private val withoutFaults by option("--no-faults", help = "leave out the crash and the slow engine").flag()
    private val threads by option(help = "runs at the same time").int().restrictTo(1..4).default(3)
    private val only by option(help = "names of the policies to run besides the product, separated by semicolons")

    override fun help(context: Context) = "Compare scheduling and routing policies in virtual time."

    private fun Scenario.withOptions(): Scenario {
        val loaded = withLoad(load)
        val steady = if (withoutBursts) loaded.copy(bursts = emptyList()) else loaded
        return if (withoutFaults) steady.copy(faults = emptyList()) else steady
    }

    override fun run() {
        val chosen = only?.split(";")?.map { it.trim() }?.filter { it.isNotEmpty() }
        val unknown = chosen.orEmpty().filter { name -> VARIANTS.none { it.name == name } }
        require(unknown.isEmpty()) { "unknown policies $unknown; known: ${VARIANTS.map { it.name }}" }
        val variants = VARIANTS.filter { chosen == null || it === PRODUCT || it.name in chosen }
        val scenarios =
            List(seeds) { Scenario(seed = (firstSeed + it).toLong(), duration = seconds * 1_000L).withOptions() }
        val executor = Executors.newFixedThreadPool(threads)
        try {
            val reference = scenarios.map { executor.submit(Callable { runReference(it) }) }
            val runs =
                variants.map { variant ->
                    variant to
                        scenarios.map { executor.submit(Callable { runVariant(it, variant) }) }
                }
            val finished = runs.map { (variant, futures) -> variant to futures.map { it.get() } }
            val report = PolicyReport(finished.first().second, reference.map { it.get() }, ::echo)
            report.printHeader()
            finished.forEach { (variant, figures) -> report.printRow(variant.name, figures) }
            report.printRow("reference planner", reference.map { it.get() })
            report.printTargets()
        } finally {
            executor.shutdownNow()
        }
    }
}

internal fun runVariant(
    scenario: Scenario,
    variant: Variant,
): RunFigures = figures(scenario, PolicyRun(scenario, variant, workload(scenario)).run())

internal fun runReference(scenario: Scenario): RunFigures =
    figures(scenario, ReferencePlanner(scenario, workload(scenario)).run())
