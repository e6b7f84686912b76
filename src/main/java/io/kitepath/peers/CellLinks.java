package io.kitepath.peers;

import io.kitepath.core.model.CellMessage;
import io.kitepath.core.port.RemoteCells;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connections to nodes of other cells, made when something is asked of them and closed when they
 * have been idle for a while. All of it runs on the event loop.
 */
public final class CellLinks implements RemoteCells {
    private static final Logger LOG = LoggerFactory.getLogger(CellLinks.class);
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int REPLY_TIMEOUT_MILLIS = 1000;

    /**
     * Summaries are a second apart: a connection idle for so long is broken, or not needed any
     * more.
     */
    private static final int IDLE_SECONDS = 10;

    private static final int MAX_PENDING_REQUESTS = 512;

    private final EventLoopGroup eventLoop;
    private final PeerMessageCodec codec = PeerMessageCodec.betweenCells();
    private final Map<String, Map<String, InetSocketAddress>> addressesByCell;
    private final Map<InetSocketAddress, ChannelFuture> connections = new HashMap<>();
    private final Map<Long, Consumer<CellMessage>> callbacksByRequest = new HashMap<>();
    private final Random random;
    private long lastRequestId;

    /**
     * @param eventLoop a group of one event loop
     * @param addressesByCell the addresses of the nodes, by cell and node
     * @param random chooses among the nodes of a cell
     */
    public CellLinks(
            EventLoopGroup eventLoop,
            Map<String, Map<String, InetSocketAddress>> addressesByCell,
            Random random) {
        this.eventLoop = eventLoop;
        this.addressesByCell = addressesByCell;
        this.random = random;
    }

    @Override
    public void ask(String cell, String node, CellMessage message, Consumer<CellMessage> callback) {
        Optional<InetSocketAddress> address = chooseAddress(cell, node);
        if (address.isEmpty() || callbacksByRequest.size() >= MAX_PENDING_REQUESTS) {
            callback.accept(null);
            return;
        }
        long requestId = ++lastRequestId;
        callbacksByRequest.put(requestId, callback);
        eventLoop.schedule(
                () -> complete(requestId, null), REPLY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        ChannelFuture connecting = connections.computeIfAbsent(address.get(), this::connect);
        connecting.addListener(
                result -> {
                    if (result.isSuccess()) {
                        PeerMessage request = new PeerMessage.CellRequest(requestId, message);
                        MessageConnection.sendIfWritable(connecting.channel(), codec, request);
                    } else {
                        complete(requestId, null);
                    }
                });
    }

    /** The address of the node, or of a random one of the cell if it is null or unknown. */
    private Optional<InetSocketAddress> chooseAddress(String cell, String node) {
        Map<String, InetSocketAddress> addresses = addressesByCell.getOrDefault(cell, Map.of());
        if (node != null && addresses.containsKey(node)) {
            return Optional.of(addresses.get(node));
        }
        if (addresses.isEmpty()) {
            return Optional.empty();
        }
        List<InetSocketAddress> candidates = List.copyOf(addresses.values());
        return Optional.of(candidates.get(random.nextInt(candidates.size())));
    }

    private ChannelFuture connect(InetSocketAddress address) {
        ChannelFuture connecting =
                new Bootstrap()
                        .group(eventLoop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .handler(new MessageChannelInitializer(IDLE_SECONDS, CellConnection::new))
                        .connect(address);
        connecting
                .channel()
                .closeFuture()
                .addListener(closed -> connections.remove(address, connecting));
        return connecting;
    }

    /** Answers the request, unless it has been answered or given up already. */
    private void complete(long requestId, CellMessage answer) {
        Consumer<CellMessage> callback = callbacksByRequest.remove(requestId);
        if (callback != null) {
            callback.accept(answer);
        }
    }

    /** A connection to a node of another cell, on which only replies are expected. */
    private final class CellConnection extends MessageConnection {
        CellConnection() {
            super(codec, LOG, "connection to another cell", "another cell's answer");
        }

        @Override
        void onMessage(Channel channel, PeerMessage message) {
            if (message instanceof PeerMessage.CellReply reply) {
                complete(reply.requestId(), reply.message());
            }
        }
    }
}
