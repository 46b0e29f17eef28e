package hawthorncrank.control

/** A kind of call to the platform that one machine makes at a time; [settingsName] is its name in the settings. */
enum class Duty(
    val settingsName: String,
) {
    USAGE_REPORT("usage_report"),
    AUTOSCALE("autoscale"),
}
