package io.kitepath.workers;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.WorkerCommand;
import io.kitepath.core.port.DirectCommands;
import io.kitepath.net.HttpClient;
import io.kitepath.net.HttpClient.Request;
import io.kitepath.net.HttpResponse;
import io.kitepath.wire.MessagePackCodec;
import io.kitepath.wire.WorkerCodec;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends direct commands to workers over HTTP, each on a connection of its own: hundreds of kept
 * connections would exceed the limit of sockets. All of it runs on the event loop.
 */
public final class HttpDirectCommands implements DirectCommands {
    private static final Logger LOG = LoggerFactory.getLogger(HttpDirectCommands.class);

    private final EventLoop loop;
    private final int maxBodyBytes;
    private final long timeoutMillis;

    /**
     * @param maxBodyBytes the largest response body that is accepted
     * @param timeoutMillis how long a worker may take to answer
     */
    public HttpDirectCommands(EventLoop loop, int maxBodyBytes, long timeoutMillis) {
        this.loop = loop;
        this.maxBodyBytes = maxBodyBytes;
        this.timeoutMillis = timeoutMillis;
    }

    @Override
    public void send(
            String address,
            long token,
            long session,
            List<WorkerCommand> commands,
            Consumer<Heartbeat> answer) {
        Optional<InetSocketAddress> workerAddress = parseAddress(address);
        if (workerAddress.isEmpty()) {
            LOG.debug("a worker's address can't be used: {}", address);
            answer.accept(null);
            return;
        }
        byte[] body = WorkerCodec.encodeDirectCommands(token, session, commands);
        HttpClient.callOnce(
                loop,
                workerAddress.get(),
                maxBodyBytes,
                Request.post("/do", body),
                timeoutMillis,
                response -> answer.accept(decodeHeartbeat(response).orElse(null)));
    }

    /** Parses {@code host:port}; empty if it is not of that form. */
    private static Optional<InetSocketAddress> parseAddress(String address) {
        int colon = address.lastIndexOf(':');
        String host = address.substring(0, Math.max(0, colon));
        try {
            int port = Integer.parseInt(address.substring(colon + 1));
            return Optional.of(new InetSocketAddress(host, port));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static Optional<Heartbeat> decodeHeartbeat(HttpResponse response) {
        if (!response.isOk()) {
            return Optional.empty();
        }
        try {
            Object body = MessagePackCodec.decode(response.body());
            return Optional.of(WorkerCodec.decodeHeartbeat(body));
        } catch (InvalidInputException invalid) {
            LOG.debug("a worker's answer can't be read: {}", invalid.getMessage());
            return Optional.empty();
        }
    }
}
