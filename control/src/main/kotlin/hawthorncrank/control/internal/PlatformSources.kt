package hawthorncrank.control.internal

import hawthorncrank.control.EngineReportSource
import hawthorncrank.control.PlatformDuties
import hawthorncrank.control.UpstreamListSource

/** What a replica may ask the platform and its engines. What is null is not asked. */
internal class PlatformSources(
    val upstreams: UpstreamListSource?,
    val duties: PlatformDuties?,
    val engineReports: EngineReportSource?,
)
