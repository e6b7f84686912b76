package io.kitepath.peers;

import io.kitepath.core.model.InvalidInputException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.slf4j.Logger;

/**
 * One connection that carries messages. It is closed when it is idle, when it fails, and at a frame
 * that is not a message.
 */
abstract class MessageConnection extends SimpleChannelInboundHandler<ByteBuf> {
    private final PeerMessageCodec codec;
    private final Logger log;
    private final String connectionName;
    private final String messageName;

    /**
     * @param connectionName names the connection in the log
     * @param messageName names what is received on it in the log
     */
    MessageConnection(
            PeerMessageCodec codec, Logger log, String connectionName, String messageName) {
        this.codec = codec;
        this.log = log;
        this.connectionName = connectionName;
        this.messageName = messageName;
    }

    /** Takes in a message that was received on the channel. */
    abstract void onMessage(Channel channel, PeerMessage message);

    /**
     * Sends a message, unless the connection is closed or the other side does not read: what it
     * leaves unread must not fill our memory.
     */
    static void sendIfWritable(Channel channel, PeerMessageCodec codec, PeerMessage message) {
        if (channel.isActive() && channel.isWritable()) {
            channel.writeAndFlush(Unpooled.wrappedBuffer(codec.encode(message)));
        }
    }

    @Override
    protected final void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
        PeerMessage message;
        try {
            message = codec.decode(ByteBufUtil.getBytes(frame));
        } catch (InvalidInputException invalid) {
            log.warn("{} can't be read: {}", messageName, invalid.getMessage());
            context.close();
            return;
        }
        onMessage(context.channel(), message);
    }

    /** The only event is that the connection is idle. */
    @Override
    public final void userEventTriggered(ChannelHandlerContext context, Object event) {
        context.close();
    }

    @Override
    public final void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        log.debug("{} failed: {}", connectionName, cause.toString());
        context.close();
    }
}
