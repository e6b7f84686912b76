package io.kitepath.peers;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.function.Supplier;

/** Sets up connections on which each message is a frame, preceded by its length in four bytes. */
final class MessageChannelInitializer extends ChannelInitializer<SocketChannel> {
    private static final int LENGTH_BYTES = 4;

    private final int idleSeconds;
    private final Supplier<ChannelHandler> handlers;

    /**
     * @param idleSeconds the handler gets an idle event when nothing was received for so long
     * @param handlers makes the handler of the frames, for each connection another one
     */
    MessageChannelInitializer(int idleSeconds, Supplier<ChannelHandler> handlers) {
        this.idleSeconds = idleSeconds;
        this.handlers = handlers;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
        channel.pipeline()
                .addLast(
                        new LengthFieldBasedFrameDecoder(
                                PeerMessageCodec.MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                        new LengthFieldPrepender(LENGTH_BYTES),
                        new IdleStateHandler(idleSeconds, 0, 0),
                        handlers.get());
    }
}
