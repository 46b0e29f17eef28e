package hawthorncrank.emulator.internal

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.nio.NioSocketChannel
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertFalse

class ConnectionResetTest {
    private val threads = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

    @AfterTest
    fun stop() {
        threads.shutdownGracefully()
    }

    @Test
    fun `a connection that its client has just closed is no failure`() {
        val channel = NioSocketChannel()
        threads.register(channel).sync()
        channel.close().sync()
        resetConnection(channel)
        assertFalse(channel.isOpen)
    }
}
