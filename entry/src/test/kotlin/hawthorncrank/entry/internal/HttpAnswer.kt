package hawthorncrank.entry.internal

internal class HttpAnswer(
    val status: Int,
    val headers: Map<String, String>,
    val body: String,
)
