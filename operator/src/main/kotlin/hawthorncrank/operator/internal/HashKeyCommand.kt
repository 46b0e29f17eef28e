package hawthorncrank.operator.internal

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import hawthorncrank.common.KeyHash

/** Reads the key from standard input, because arguments are visible in the list of processes. */
internal class HashKeyCommand(
    private val readKey: () -> String? = ::readlnOrNull,
) : CliktCommand("hash-key") {
    private val iterations by option(
        help = "PBKDF2 iterations; more make each key check slower",
    ).int().restrictTo(10_000..2_000_000).default(KeyHash.DEFAULT_ITERATIONS)

    override fun help(context: Context) = "Print the salted hash of the API or operator key on standard input"

    override fun run() {
        val key = readKey()?.trim().orEmpty()
        if (key.length <
            MINIMUM_KEY_LENGTH
        ) {
            throw CliktError("the key is shorter than $MINIMUM_KEY_LENGTH characters; use a longer one")
        }
        echo(KeyHash.hash(key, iterations))
    }

    private companion object {
        const val MINIMUM_KEY_LENGTH = 16
    }
}
