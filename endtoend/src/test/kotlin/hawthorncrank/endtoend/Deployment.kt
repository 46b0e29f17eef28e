package hawthorncrank.endtoend

import java.net.URI
import java.net.http.HttpRequest

/** What the scenarios need to know of a sample deployment. */
class Deployment private constructor(
    val quickClass: String,
    private val model: String,
    private val organisation: String,
    private val orderPath: String,
) {
    fun modelCall(
        entry: URI,
        className: String,
        number: Int,
        tokens: Int,
    ): HttpRequest = Call.model(entry, organisation, model, className, number, tokens)

    /** A call whose prompt holds the marker that crashes the sample's engine stand-ins. */
    fun crashingCall(entry: URI): HttpRequest =
        Call.model(entry, organisation, model, quickClass, number = 0, tokens = 50, marker = "#crash-the-engine#")

    fun serviceCall(
        entry: URI,
        key: String,
    ): HttpRequest = Call.order(entry, organisation, orderPath, key, content = "order $key")

    /** Asks an engine stand-in of this process, outside the fleet, for the answer to the same body. */
    fun answerOf(request: HttpRequest): String = ReferenceEngine.answer(request)

    companion object {
        fun of(name: String): Deployment =
            when (name) {
                "caroni" -> Deployment("fault-guess", "tangle-assistant", "fete-crews-port-of-spain", "/bookings")
                "signwright" -> Deployment("draft", "aisle-lettering", "franchise-brisbane-metro", "/orders")
                else -> error("no sample deployment \"$name\"; use caroni or signwright")
            }
    }
}
