package io.kitepath.cli;

import io.kitepath.wire.MessagePackCodec;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublisher;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A user of nodes on loopback: submits jobs and queries them over HTTP, at one node after the other
 * until one answers. Its calls block.
 */
final class LocalUser {
    /** How long a user goes on trying, and waits for a job that nothing holds up. */
    static final double PATIENCE_SECONDS = 60;

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
    private static final int OK = 200;
    private static final int CREATED = 201;

    private final HttpClient http = HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build();
    private final List<InetSocketAddress> nodes;

    LocalUser(List<InetSocketAddress> nodes) {
        this.nodes = nodes;
    }

    /** The document of a small job array, as {@code kitepath submit} takes it. */
    static Map<String, Object> jobDocument(String id, int taskCount, List<String> dependencies) {
        Map<String, Object> document = new LinkedHashMap<>();
        document.put("nameId", id);
        document.put("lane", "first");
        document.put("crew", "red");
        document.put("shape", "array");
        document.put("urgency", "standard");
        document.put("sheets", taskCount);
        document.put("vcpus", 1.0);
        document.put("cards", 0.0);
        document.put("ramGb", 1.0);
        document.put("frames", null);
        document.put("field", null);
        document.put("oneZone", false);
        document.put("spread", false);
        document.put("loaners", false);
        document.put("kit", "img-01");
        document.put("sizeGb", 0.5);
        document.put("expectS", 2.0);
        document.put("markEveryS", 0.0);
        document.put("markCostS", 0.0);
        document.put("dueS", null);
        document.put("awaits", dependencies);
        return document;
    }

    /** Whether every node says that it is healthy. */
    boolean areAllNodesHealthy() {
        return nodes.stream().allMatch(node -> get(node, "/healthz").isPresent());
    }

    /** Submits a job until a node accepts it or knows it; false if none has in time. */
    boolean submit(String id, int taskCount, List<String> dependencies)
            throws InterruptedException {
        return RealTime.waitUntil(
                PATIENCE_SECONDS,
                () ->
                        nodes.stream()
                                .anyMatch(node -> isAccepted(node, id, taskCount, dependencies)));
    }

    private boolean isAccepted(
            InetSocketAddress node, String id, int taskCount, List<String> dependencies) {
        byte[] body = MessagePackCodec.encode(jobDocument(id, taskCount, dependencies));
        return send(
                        node,
                        "POST",
                        "/submissions",
                        BodyPublishers.ofByteArray(body),
                        Set.of(OK, CREATED))
                .isPresent();
    }

    /** Whether the first node that answers says that the job is done. */
    boolean isDone(String id) {
        for (InetSocketAddress node : nodes) {
            Optional<byte[]> body = get(node, "/submissions/" + id);
            if (body.isPresent()) {
                Map<?, ?> status = (Map<?, ?>) MessagePackCodec.decode(body.get());
                return "done".equals(status.get("status"));
            }
        }
        return false;
    }

    private Optional<byte[]> get(InetSocketAddress node, String path) {
        return send(node, "GET", path, BodyPublishers.noBody(), Set.of(OK));
    }

    /** The response's body; empty if there is no response or its status is not accepted. */
    private Optional<byte[]> send(
            InetSocketAddress node,
            String method,
            String path,
            BodyPublisher body,
            Set<Integer> acceptedStatuses) {
        URI uri = URI.create("http://" + LoopbackAddresses.text(node) + path);
        HttpRequest request =
                HttpRequest.newBuilder(uri).timeout(REQUEST_TIMEOUT).method(method, body).build();
        try {
            HttpResponse<byte[]> response =
                    http.send(request, HttpResponse.BodyHandlers.ofByteArray());
            return acceptedStatuses.contains(response.statusCode())
                    ? Optional.of(response.body())
                    : Optional.empty();
        } catch (IOException noResponse) {
            return Optional.empty();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }
}
