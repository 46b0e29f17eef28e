package hawthorncrank.bench

import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import hawthorncrank.bench.internal.BenchCommand
import hawthorncrank.bench.internal.PolicyCommand
import hawthorncrank.bench.internal.RolesCommand
import hawthorncrank.bench.internal.SlopesCommand

fun main(arguments: Array<String>) =
    BenchCommand().subcommands(PolicyCommand(), RolesCommand(), SlopesCommand()).main(arguments)
