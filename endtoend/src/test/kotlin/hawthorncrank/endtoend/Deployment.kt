package hawthorncrank.endtoend

import java.net.URI
import java.net.http.HttpRequest

/** The names in a sample deployment that the scenarios need for their requests. */
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
    ): HttpRequest = Call.modelRequest(entry, organisation, model, className, number, tokens)

    /** A request whose prompt contains the marker that crashes the sample's engine stand-ins. */
    fun crashingCall(entry: URI): HttpRequest =
        Call.modelRequest(
            entry,
            organisation,
            model,
            quickClass,
            number = 0,
            tokens = 50,
            marker = "#crash-the-engine#",
        )

    fun serviceCall(
        entry: URI,
        key: String,
    ): HttpRequest = Call.serviceRequest(entry, organisation, orderPath, key, content = "order $key")

    /** Returns the answer to the same body from an engine stand-in that runs in the test process, outside the fleet. */
    fun expectedAnswer(request: HttpRequest): String = ReferenceEngine.answer(request)

    companion object {
        fun of(name: String): Deployment =
            when (name) {
                "caroni" -> Deployment("fault-guess", "tangle-assistant", "fete-crews-port-of-spain", "/bookings")
                "signwright" -> Deployment("draft", "aisle-lettering", "franchise-brisbane-metro", "/orders")
                else -> error("no sample deployment \"$name\"; use caroni or signwright")
            }
    }
}
