package hawthorncrank.entry.internal

import hawthorncrank.common.KeyHash
import hawthorncrank.protocol.Organisation

/** The organisations of one version of the configuration, by name and by those keys that it stores as fast digests. */
internal class OrganisationKeys(
    organisations: List<Organisation>,
) {
    private val byName = organisations.associateBy { it.name }
    private val byDigest =
        organisations
            .flatMap { organisation -> organisation.keyHashes.filter(KeyHash::isDigest).map { it to organisation } }
            .toMap()

    fun find(name: String): Organisation? = byName[name]

    /** Returns the organisation whose configuration stores [key] as a fast digest, or null. */
    fun findByDigest(key: String): Organisation? = if (byDigest.isEmpty()) null else byDigest[KeyHash.digest(key)]
}
