package hawthorncrank.bench.internal

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context

/** The program's root command. The measurements are its subcommands. */
internal class BenchCommand : CliktCommand(name = "hawthorncrank-bench") {
    override fun help(context: Context) = "Measure hawthorncrank's decisions in virtual time."

    override fun run() = Unit
}
