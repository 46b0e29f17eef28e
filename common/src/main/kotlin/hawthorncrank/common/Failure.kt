package hawthorncrank.common

/**
 * An error that a person or a caller reads. Modules declare sealed kinds of it; every kind says what is wrong in
 * [problem] and what to do about it in [remedy].
 */
interface Failure {
    val problem: String
    val remedy: String

    val message: String
        get() = "$problem; $remedy"
}
