package hawthorncrank.routing

/** The loads of three deployments, and of two with much slower and much faster engines. */
internal object PromptLoads {
    val LIGHTS =
        PromptLoad(
            EngineSheet("lights", listOf(3, 3, 2), 64, 6.55, 62.4, tokensPerEvent = 2, keptTokens = 613_000),
            listOf(
                StreamKind("plan", 13_300, 3_720, 60, 2_500, 500, 8.69, 15_000, engineClass = 2),
                StreamKind("trace", 6_300, 2_890, 26, 800, 200, 7.06, 8_000, engineClass = 1),
                StreamKind("guess", 350, 1_110, 86, 500, 120, 9.47),
            ),
            entriesPerZone = 3,
        )
    val LETTERING =
        PromptLoad(
            EngineSheet("lettering", listOf(2, 2, 2), 64, 6.55, 62.4, tokensPerEvent = 3, keptTokens = 443_000),
            listOf(
                StreamKind("draft", 13_300, 3_720, 40, 2_500, 800, 5.94, 12_000, engineClass = 2),
                StreamKind("check", 6_300, 2_890, 17, 800, 300, 4.8, 8_000, engineClass = 1),
                StreamKind("blurb", 350, 1_110, 57, 500, 200, 6.45),
            ),
            entriesPerZone = 3,
        )
    val BINDERY =
        PromptLoad(
            EngineSheet("bindery", listOf(3, 3, 2), 96, 4.73, 38.4, tokensPerEvent = 4, keptTokens = 195_000),
            listOf(
                StreamKind("plan", 6_300, 2_890, 13, 2_500, 1_200, 10.3, 12_000, engineClass = 2),
                StreamKind("check", 568, 1_800, 6, 800, 500, 14.2, 8_000, engineClass = 1),
                StreamKind("chat", 172, 543, 70, 600, 300, 15.7),
            ),
            entriesPerZone = 2,
        )
    val SLOW =
        PromptLoad(
            EngineSheet("slow", listOf(4, 4), 32, 12.0, 12.0, tokensPerEvent = 1, keptTokens = 150_000),
            listOf(
                StreamKind("report", 4_000, 1_500, 120, 4_000, 900, 3.0, 20_000, engineClass = 1),
                StreamKind("reply", 300, 400, 80, 1_200, 350, 6.0),
            ),
            entriesPerZone = 3,
        )
    val FAST =
        PromptLoad(
            EngineSheet("fast", listOf(2, 3, 2), 128, 3.0, 150.0, tokensPerEvent = 8, keptTokens = 900_000),
            listOf(
                StreamKind("digest", 30_000, 9_000, 20, 1_500, 900, 8.0, 8_000, engineClass = 2),
                StreamKind("search", 2_000, 3_000, 6, 400, 400, 25.0, 4_000, engineClass = 1),
                StreamKind("talk", 500, 700, 40, 250, 150, 20.0, 12_000),
            ),
            entriesPerZone = 2,
        )

    /** Engines whose speed differs, for [UnevenEngines]. */
    val UNEVEN =
        PromptLoad(
            EngineSheet("uneven", listOf(4, 4, 4), 64, 6.55, 62.4, tokensPerEvent = 3, keptTokens = 443_000, 1_024),
            listOf(
                StreamKind("draft", 13_300, 3_720, 40, 2_500, 600, 11.9, 12_000, engineClass = 2),
                StreamKind("check", 6_300, 2_890, 17, 800, 250, 9.6, 8_000, engineClass = 1),
                StreamKind("blurb", 350, 1_110, 57, 500, 150, 12.9),
            ),
            entriesPerZone = 3,
        )
    val ALL = listOf(LIGHTS, LETTERING, BINDERY, SLOW, FAST)
}
