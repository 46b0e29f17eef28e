package hawthorncrank.operator.internal

import com.github.michaelbull.result.getOrElse
import hawthorncrank.common.EventLog
import hawthorncrank.link.Link
import hawthorncrank.link.LinkListener
import hawthorncrank.link.LinkSettings
import hawthorncrank.link.linkClient
import hawthorncrank.operator.OperatorSettings
import hawthorncrank.protocol.LinkRole
import hawthorncrank.protocol.OperatorAnswer
import hawthorncrank.protocol.OperatorCommand
import hawthorncrank.protocol.OperatorRequest
import hawthorncrank.protocol.OperatorResponse
import hawthorncrank.protocol.WireMessage
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/** Calls a replica over an authenticated link that lasts for one command. */
internal class LinkReplicaCall(
    private val settings: OperatorSettings,
    private val log: EventLog,
) : ReplicaCall {
    private val linkSettings = LinkSettings(LinkRole.OPERATOR, settings.operator, settings.fleetKey)

    override fun call(
        address: String,
        command: OperatorCommand,
        milliseconds: Long,
    ): OperatorAnswer? {
        val answer = CompletableFuture<OperatorAnswer>()
        val request = OperatorRequest(REQUEST_NUMBER, settings.operator, settings.key, command)
        val client =
            linkClient(linkSettings, listOf(address), Listener(request, answer), log)
                .getOrElse { return OperatorAnswer.Refused(it.problem, it.remedy) }
        return client.use {
            try {
                answer.get(milliseconds, TimeUnit.MILLISECONDS)
            } catch (_: TimeoutException) {
                null
            } catch (_: ExecutionException) {
                null
            }
        }
    }

    private class Listener(
        private val request: OperatorRequest,
        private val answer: CompletableFuture<OperatorAnswer>,
    ) : LinkListener {
        override fun opened(link: Link) {
            link.send(request)
        }

        override fun received(
            link: Link,
            message: WireMessage,
        ) {
            if (message is OperatorResponse && message.number == request.number) answer.complete(message.answer)
        }

        override fun closed(
            link: Link,
            reason: String,
        ) {
            answer.completeExceptionally(IllegalStateException(reason))
        }
    }

    private companion object {
        const val REQUEST_NUMBER = 1L
    }
}
