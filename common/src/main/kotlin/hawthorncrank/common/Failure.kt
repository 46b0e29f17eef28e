package hawthorncrank.common

/**
 * An error that is reported to a person or a caller. Each module declares its kinds as a sealed type; [problem] says
 * what is wrong and [remedy] what to do about it.
 */
interface Failure {
    val problem: String
    val remedy: String

    val message: String
        get() = "$problem; $remedy"
}
