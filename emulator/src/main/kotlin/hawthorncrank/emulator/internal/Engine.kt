package hawthorncrank.emulator.internal

import hawthorncrank.common.EventLog
import hawthorncrank.common.MillisecondClock
import hawthorncrank.emulator.EngineSettings
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/**
 * The generation, cache and orders of an engine stand-in, without its HTTP server. One thread owns this state, and the
 * methods submit their work to it. A completion is cancelled when its caller disconnects. If the engine resumes
 * streams, the caller can then resume it for [RESUME_RETENTION_MILLISECONDS].
 */
internal class Engine(
    val settings: EngineSettings,
    private val clock: MillisecondClock,
    private val log: EventLog,
) : AutoCloseable {
    private val thread =
        Executors.newSingleThreadScheduledExecutor { work ->
            Thread(work, "engine-${settings.name}").apply { isDaemon = true }
        }
    private val batch = Batch(settings.slots, settings.prefillTokensPerStep, settings.honoursPriority)
    private val cache = PrefixCache(settings.cacheBlocks, settings.cacheEventGap)
    private val load = DelayedLoadReports(settings.reportLag.value, settings.slots)
    private val orders = EngineOrders(settings.models, settings.checksFencing)
    private val resumable = mutableMapOf<String, CompletionRequest>()
    private val active = mutableSetOf<Completion>()
    private var nextStep: ScheduledFuture<*>? = null

    @Volatile var slowFactor = settings.slowFactor

    @Volatile var crashMarker = settings.crashMarker

    @Volatile var silent = false

    /** Generates the answer and calls [output] on the engine's thread. Closing the result cancels the completion. */
    fun complete(
        request: CompletionRequest,
        output: CompletionOutput,
    ): AutoCloseable {
        val completion = Completion(request, output)
        thread.execute { start(completion) }
        return AutoCloseable { execute { cancel(completion) } }
    }

    fun loadReport(): CompletableFuture<EngineLoad> = readState { load.report(clock.now()) }

    fun cacheEvents(after: Long): CompletableFuture<List<CacheEvent>> =
        readState { cache.events(after, clock.now() - settings.cacheEventDelay.value) }

    fun state(): CompletableFuture<EngineState> = readState { orders.state }

    /** Checks the order at once. Loading a model then takes the configured load time before it takes effect. */
    fun order(order: EngineOrder): CompletableFuture<OrderResult> {
        val result = CompletableFuture<OrderResult>()
        val duration = if (order.order == "load_model") settings.loadTime.value else 0L
        thread.execute {
            val refusal = orders.refusal(order, clock.wallTime())
            if (refusal != null) {
                result.complete(refusal)
            } else {
                thread.schedule({ result.complete(orders.apply(order)) }, duration, TimeUnit.MILLISECONDS)
            }
        }
        return result
    }

    /** Discards the state that a process loses when it crashes. */
    fun crash() =
        execute {
            log.record(EmulatorEvent.ENGINE_CRASHED, "engine" to settings.name, "running" to batch.running)
            batch.clear()
            active.clear()
            cache.clear()
            load.clear()
            resumable.clear()
        }

    override fun close() {
        thread.shutdownNow()
    }

    private fun start(completion: Completion) {
        val request = completion.request
        if (request.model !in orders.state.models) {
            return completion.output.refused(HTTP_NOT_FOUND, "the model \"${request.model}\" is not loaded")
        }
        val resume = request.resume
        if (resume != null && resumable[resume.token]?.prompt != request.prompt) {
            return completion.output.refused(HTTP_CONFLICT, "the stream \"${resume.token}\" cannot be resumed")
        }
        val prefix = prefixBlocks(request.model, request.prompt.toByteArray())
        val cached = cache.store(prefix, clock.now())
        val promptTokens = request.prompt.length / CHARACTERS_PER_TOKEN
        val prefill = (promptTokens - cached * PREFIX_BLOCK_BYTES / CHARACTERS_PER_TOKEN).coerceAtLeast(0)
        val token = if (settings.resumesStreams) resume?.token ?: "${completion.answer.identifier}-$counter" else null
        counter += 1
        token?.let { resumable[it] = request }
        completion.resumeToken = token
        completion.output.accepted(completion.answer, load.report(clock.now()), token)
        val produced = resume?.let { StreamFormat(completion.answer, request.model).position(it.offset).token } ?: 0
        completion.sequence =
            Sequence(request.priority, completion.answer.length, prefill, produced) { completion.output.token(it) }
        active += completion
        batch.add(completion.sequence)
        recordLoad()
        scheduleStep()
    }

    private var counter = 0L

    private fun scheduleStep() {
        if (nextStep != null || batch.empty) return
        val interval = stepMilliseconds() * NANOSECONDS_PER_MILLISECOND
        nextStep = thread.schedule({ step() }, interval.toLong(), TimeUnit.NANOSECONDS)
    }

    private fun step() {
        nextStep = null
        if (!silent) {
            val finished = batch.step().toSet()
            active.filter { it.sequence in finished }.forEach { completion ->
                active -= completion
                completion.resumeToken?.let { resumable.remove(it) }
                completion.output.finished()
            }
        }
        recordLoad()
        scheduleStep()
    }

    private fun stepMilliseconds(): Double =
        settings.tokenInterval.value * (1 + settings.batchGrowth * (batch.running - 1).coerceAtLeast(0)) * slowFactor

    private fun cancel(completion: Completion) {
        if (!active.remove(completion)) return
        batch.remove(completion.sequence)
        completion.resumeToken?.let { token ->
            thread.schedule({ resumable.remove(token) }, RESUME_RETENTION_MILLISECONDS, TimeUnit.MILLISECONDS)
        }
        log.record(
            EmulatorEvent.COMPLETION_CANCELLED,
            "engine" to settings.name,
            "produced" to completion.sequence.produced,
        )
        recordLoad()
    }

    private fun recordLoad() = load.record(batch.running, batch.queued, stepMilliseconds(), clock.now())

    private fun execute(work: () -> Unit) {
        if (!thread.isShutdown) thread.execute(work)
    }

    private fun <T> readState(read: () -> T): CompletableFuture<T> = CompletableFuture.supplyAsync(read, thread)

    private inner class Completion(
        val request: CompletionRequest,
        val output: CompletionOutput,
    ) {
        val answer = AnswerText(request.model, request.prompt, request.maximumTokens)
        lateinit var sequence: Sequence
        var resumeToken: String? = null
    }

    private companion object {
        const val RESUME_RETENTION_MILLISECONDS = 10_000L
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000.0
    }
}

/** Receives the progress and the result of one completion. */
internal interface CompletionOutput {
    fun accepted(
        answer: AnswerText,
        load: EngineLoad,
        resumeToken: String?,
    )

    fun token(index: Int)

    fun finished()

    fun refused(
        status: Int,
        problem: String,
    )
}
