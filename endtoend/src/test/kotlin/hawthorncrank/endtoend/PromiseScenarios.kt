package hawthorncrank.endtoend

import org.junit.platform.suite.api.ConfigurationParameter
import org.junit.platform.suite.api.IncludeEngines
import org.junit.platform.suite.api.SelectPackages
import org.junit.platform.suite.api.Suite

/** Runs the scenarios in `features` against the real programs, as separate processes on loopback. */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("features")
@ConfigurationParameter(key = "cucumber.glue", value = "hawthorncrank.endtoend")
@ConfigurationParameter(key = "cucumber.publish.quiet", value = "true")
class PromiseScenarios
