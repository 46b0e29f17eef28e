package hawthorncrank.emulator.internal

import io.netty.channel.socket.nio.NioSocketChannel
import kotlin.test.Test
import kotlin.test.assertFalse

class ConnectionResetTest {
    @Test
    fun `a connection that its client has just closed is no failure`() {
        val channel = NioSocketChannel()
        channel.unsafe().closeForcibly()
        resetConnection(channel)
        assertFalse(channel.isOpen)
    }
}
