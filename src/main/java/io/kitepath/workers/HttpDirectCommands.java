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
 * Sends direct commands to workers over HTTP, each on a connection of its own: hundreds of
 * persistent connections would exceed the socket limit. All methods and callbacks run on the event
 * loop.
 */
public final class HttpDirectCommands implements DirectCommands {
    private static final Logger LOG = LoggerFactory.getLogger(HttpDirectCommands.class);

    private final EventLoop loop;
    private final int maxBodyBytes;
    private final long timeoutMillis;

    /**
     * @param maxBodyBytes the size of the largest accepted response body
     * @param timeoutMillis the timeout of a worker's response
     */
    public HttpDirectCommands(EventLoop loop, int maxBodyBytes, long timeoutMillis) {
        this.loop = loop;
        this.maxBodyBytes = maxBodyBytes;
        this.timeoutMillis = timeoutMillis;
    }

    @Override
    public void send(
            String address,
            long fencingToken,
            long agentIncarnation,
            List<WorkerCommand> commands,
            Consumer<Heartbeat> callback) {
        Optional<InetSocketAddress> workerAddress = parseAddress(address);
        if (workerAddress.isEmpty()) {
            LOG.debug("worker address invalid: address={}", address);
            callback.accept(null);
            return;
        }
        byte[] body = WorkerCodec.encodeDirectCommands(fencingToken, agentIncarnation, commands);
        HttpClient.callOnce(
                loop,
                workerAddress.get(),
                maxBodyBytes,
                Request.post("/do", body),
                timeoutMillis,
                response -> callback.accept(decodeHeartbeat(response).orElse(null)));
    }

    /** Parses {@code host:port}; empty if the text has another form. */
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
            LOG.debug("worker response unreadable: reason={}", invalid.getMessage());
            return Optional.empty();
        }
    }
}
