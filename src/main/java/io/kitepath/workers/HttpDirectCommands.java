package io.kitepath.workers;

import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.WorkerCommand;
import io.kitepath.core.port.DirectCommands;
import io.kitepath.net.HttpClient;
import io.kitepath.wire.MessagePackCodec;
import io.kitepath.wire.WorkerCodec;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Direct commands over HTTP, each on a connection of its own: hundreds of kept ones would fill the
 * socket limit.
 */
public final class HttpDirectCommands implements DirectCommands {
    private static final Logger LOG = LoggerFactory.getLogger(HttpDirectCommands.class);

    private final EventLoop loop;
    private final int maxBody;
    private final long timeoutMs;

    public HttpDirectCommands(EventLoop loop, int maxBody, long timeoutMs) {
        this.loop = loop;
        this.maxBody = maxBody;
        this.timeoutMs = timeoutMs;
    }

    @Override
    public void send(
            String address,
            long token,
            long session,
            List<WorkerCommand> orders,
            Consumer<Heartbeat> answer) {
        InetSocketAddress to;
        try {
            int colon = address.lastIndexOf(':');
            to =
                    new InetSocketAddress(
                            address.substring(0, Math.max(0, colon)),
                            Integer.parseInt(address.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            LOG.debug("a worker's address can't be used: {}", address);
            answer.accept(null);
            return;
        }
        HttpClient.once(
                loop,
                to,
                maxBody,
                "POST",
                "/do",
                WorkerCodec.encodeDirectCommands(token, session, orders),
                timeoutMs,
                (status, body) -> answer.accept(status == 200 ? report(body) : null));
    }

    private static Heartbeat report(byte[] body) {
        try {
            return WorkerCodec.decodeHeartbeat(MessagePackCodec.decode(body));
        } catch (InvalidInputException invalid) {
            LOG.debug("a worker's answer can't be read: {}", invalid.getMessage());
            return null;
        }
    }
}
