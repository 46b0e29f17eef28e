package hawthorncrank.operator.internal

import hawthorncrank.protocol.OperatorAnswer
import hawthorncrank.protocol.OperatorCommand

/** Sends one command to the replica at an address. Null means that no answer came within the given milliseconds. */
internal fun interface ReplicaCall {
    fun call(
        address: String,
        command: OperatorCommand,
        milliseconds: Long,
    ): OperatorAnswer?
}
