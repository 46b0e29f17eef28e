package hawthorncrank.emulator

class Answer(
    val status: Int,
    val headers: Map<String, String>,
    val body: String,
)
