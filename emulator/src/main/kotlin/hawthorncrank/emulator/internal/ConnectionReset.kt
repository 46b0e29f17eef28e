package hawthorncrank.emulator.internal

import io.netty.channel.Channel
import io.netty.channel.ChannelException
import io.netty.channel.ChannelOption

/** Closes [channel] with a reset, as the end of a killed process does. */
internal fun resetConnection(channel: Channel) {
    try {
        channel.config().setOption(ChannelOption.SO_LINGER, 0)
    } catch (failure: ChannelException) {
        // A client may close its connection at the same moment.
        if (channel.isOpen) throw failure
    }
    channel.close()
}
