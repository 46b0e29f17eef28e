package hawthorncrank.consensus.internal

/** What another seed that belongs to no group last said about itself. */
internal data class FormationClaim(
    val mayForm: Boolean,
    val knowsNoGroup: Boolean,
    val heardAt: Long,
)
