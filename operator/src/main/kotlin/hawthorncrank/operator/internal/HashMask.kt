package hawthorncrank.operator.internal

/** Masks key hashes: a hash that was written in the wrong field would be quoted as a name or an address. */
internal fun withoutHashes(text: String): String = HASH.replace(text, "(key hash)")

internal fun ConfigurationFinding.withoutHashes() =
    copy(field = withoutHashes(field), problem = withoutHashes(problem), remedy = withoutHashes(remedy))

private val HASH = Regex("""pbkdf2\$[^"\s]+|[0-9a-fA-F]{64}""")
