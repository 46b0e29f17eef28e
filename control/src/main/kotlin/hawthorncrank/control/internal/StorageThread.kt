package hawthorncrank.control.internal

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.onFailure
import hawthorncrank.common.EventLog
import hawthorncrank.consensus.ReplicaEffect
import hawthorncrank.consensus.ReplicaEvent
import hawthorncrank.consensus.ReplicaStorage
import hawthorncrank.consensus.StorageFailure
import hawthorncrank.control.ControlCodec
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

/** Writes persist effects to disk in order, with one sync for all that are queued. Also encodes snapshots. */
internal class StorageThread(
    private val storage: ReplicaStorage,
    private val log: EventLog,
    private val send: (ReplicaEvent) -> Unit,
    private val onFatalError: () -> Unit,
) {
    private val queue = LinkedBlockingQueue<ControlEffect>()
    private val thread = Thread(::run, "storage").apply { isDaemon = true }

    @Volatile private var open = true

    fun start() = thread.start()

    fun submit(effect: ControlEffect) {
        queue.add(effect)
    }

    /** Stops the thread once everything that was submitted is synced. */
    fun stop() {
        open = false
        thread.join(STOP_MILLISECONDS)
        storage.close()
    }

    private fun run() {
        try {
            while (open || queue.isNotEmpty()) {
                val first = queue.poll(POLL_MILLISECONDS, TimeUnit.MILLISECONDS) ?: continue
                val batch = arrayListOf(first)
                queue.drainTo(batch, MAXIMUM_BATCH_SIZE)
                persist(batch.filterIsInstance<ControlEffect.Persist>().map { it.effect })
                    .onFailure { failure -> return stopAfter(failure.message) }
                batch.filterIsInstance<ControlEffect.EncodeSnapshot>().forEach {
                    send(ReplicaEvent.SnapshotCaptured(it.index, ControlCodec.encode(it.state)))
                }
            }
        } catch (failure: Exception) {
            stopAfter(failure.toString())
        }
    }

    private fun persist(effects: List<ReplicaEffect.Persist>): Result<Unit, StorageFailure> {
        val last = effects.lastOrNull() ?: return OK
        effects.forEach { effect ->
            val result = storage.persist(effect)
            if (result.getError() != null) return result
        }
        return storage.sync().andThen {
            send(ReplicaEvent.StorageSynced(last.token))
            OK
        }
    }

    private fun stopAfter(detail: String) {
        log.record(ControlEventCode.STORAGE_FAILED, "error" to detail)
        onFatalError()
    }

    private companion object {
        const val MAXIMUM_BATCH_SIZE = 1_000
        const val POLL_MILLISECONDS = 50L
        const val STOP_MILLISECONDS = 10_000L
        val OK: Result<Unit, StorageFailure> =
            com.github.michaelbull.result
                .Ok(Unit)
    }
}
