package io.kitepath.cli;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobStatus;
import io.kitepath.core.service.JobSubmissionService.JobResponse;
import io.kitepath.core.service.JobSubmissionService.Verdict;
import io.kitepath.net.HttpClient;
import io.kitepath.net.HttpResponse;
import io.kitepath.simulation.LoopbackEmulator;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.wire.MessagePackCodec;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * Users of a soak run: they submit jobs, ask about them at all nodes for as long as the run lasts,
 * submit them again and cancel some. What they are told goes to the cluster's checker of rules.
 */
final class SoakUsers {
    private static final long QUERY_TIMEOUT_MILLIS = 2000;
    private static final long SUBMIT_TIMEOUT_MILLIS = 5000;
    private static final int MAX_RESPONSE_BYTES = 64 * 1024;
    private static final long QUERY_INTERVAL_MILLIS = 5000;
    private static final long RETRY_MILLIS = 1500;
    private static final int MAX_TASKS = 12;
    private static final int MAX_GANG_TASKS = 4;

    /** Each task fills a machine. */
    private static final double CPUS_PER_TASK = 4;

    /** One job in so many is cancelled, and one in so many is submitted again. */
    private static final int ONE_IN = 4;

    private static final Map<String, String> STATUS_NAMES = Map.of("withdrawn", "cancelled");

    /** A job and a node that was asked about it. */
    private record Asked(String jobId, int node) {}

    private final EventLoop loop;
    private final LoopbackEmulator emulator;
    private final SimulatedCluster cluster;
    private final List<InetSocketAddress> nodes;
    private final Random random;
    private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(4);

    private final Set<String> accepted = ConcurrentHashMap.newKeySet();
    private final Set<String> ended = ConcurrentHashMap.newKeySet();

    /** Jobs whose cancellation was requested, confirmed or not. */
    private final Set<String> cancelling = ConcurrentHashMap.newKeySet();

    private final Map<Asked, Double> answeredAt = new ConcurrentHashMap<>();
    private final AtomicInteger jobCount = new AtomicInteger();
    private final AtomicInteger answerCount = new AtomicInteger();
    private final AtomicInteger unansweredCount = new AtomicInteger();

    SoakUsers(EventLoop loop, LoopbackEmulator emulator, List<InetSocketAddress> nodes, long seed) {
        this.loop = loop;
        this.emulator = emulator;
        this.cluster = emulator.cluster;
        this.nodes = nodes;
        this.random = new Random(seed);
    }

    /** Submits a new job, whose user asks about it from then on. */
    void submitNextJob() {
        String id = String.format("j-%06d", jobCount.incrementAndGet());
        boolean isGang = random.nextInt(ONE_IN) == 0;
        int taskCount = 1 + random.nextInt(isGang ? MAX_GANG_TASKS : MAX_TASKS);
        boolean isToBeCancelled = random.nextInt(ONE_IN) == 0;
        boolean isToBeRepeated = random.nextInt(ONE_IN) == 0;
        long cancelAfterMillis = random.nextInt(15_000);
        JobSpec.Shape shape = isGang ? JobSpec.Shape.GANG : JobSpec.Shape.ARRAY;
        JobSpec spec = SimulatedCluster.job(id, shape, taskCount, CPUS_PER_TASK);
        emulator.run(() -> cluster.specs.put(id, spec));
        submit(spec, random.nextInt(nodes.size()));
        if (isToBeRepeated) {
            later(cancelAfterMillis / 2, () -> submit(spec, 0));
        }
        if (isToBeCancelled) {
            later(cancelAfterMillis, () -> cancel(id, 0));
        }
    }

    /** Ends all requests. */
    void stop() {
        executor.shutdownNow();
    }

    int jobCount() {
        return jobCount.get();
    }

    int answerCount() {
        return answerCount.get();
    }

    int unansweredCount() {
        return unansweredCount.get();
    }

    int cancelledCount() {
        return cancelling.size();
    }

    /** Returns the accepted jobs that users were told neither done nor cancelled. */
    List<String> unfinished() {
        return accepted.stream().filter(id -> !ended.contains(id)).sorted().toList();
    }

    /** Returns the accepted jobs, ended ones included. */
    List<String> acceptedJobs() {
        return accepted.stream().sorted().toList();
    }

    /** Returns the jobs, with the node, about which that node has not answered since that time. */
    List<String> unansweredSince(double seconds, List<String> jobs) {
        List<String> unanswered = new ArrayList<>();
        for (String id : jobs) {
            for (int node = 0; node < nodes.size(); node++) {
                if (answeredAt.getOrDefault(new Asked(id, node), 0.0) < seconds) {
                    unanswered.add(id + " at " + LocalNodeSettings.label(node));
                }
            }
        }
        return unanswered;
    }

    // ---- requests -------------------------------------------------------------------------------

    private void submit(JobSpec spec, int node) {
        String id = spec.id();
        Map<String, Object> document = LocalUser.jobDocument(id, spec.taskCount(), List.of());
        document.put("shape", spec.isGang() ? "group" : "array");
        document.put("vcpus", spec.cpusPerTask());
        byte[] body = MessagePackCodec.encode(document);
        send(
                id,
                node,
                "/submissions",
                body,
                SUBMIT_TIMEOUT_MILLIS,
                isAnswered -> {
                    if (!isAnswered) {
                        later(RETRY_MILLIS, () -> submit(spec, (node + 1) % nodes.size()));
                    } else if (accepted.add(id)) {
                        emulator.run(() -> cluster.invariants.accepted(id));
                        for (int other = 0; other < nodes.size(); other++) {
                            askForever(id, other);
                        }
                    }
                });
    }

    private void askForever(String id, int node) {
        ask(id, node);
        later(QUERY_INTERVAL_MILLIS, () -> askForever(id, node));
    }

    private void ask(String id, int node) {
        double askedAt = RealTime.nowSeconds();
        send(
                id,
                node,
                "/submissions/" + id,
                null,
                QUERY_TIMEOUT_MILLIS,
                isAnswered -> {
                    if (isAnswered) {
                        answeredAt.merge(new Asked(id, node), askedAt, Math::max);
                    }
                });
    }

    private void cancel(String id, int node) {
        cancelling.add(id);
        emulator.run(() -> cluster.invariants.cancellationRequested(id));
        send(
                id,
                node,
                "/submissions/" + id + "/withdraw",
                new byte[0],
                SUBMIT_TIMEOUT_MILLIS,
                isAnswered -> {
                    if (isAnswered && accepted.contains(id)) {
                        for (int other = 0; other < nodes.size(); other++) {
                            ask(id, other);
                        }
                    } else {
                        later(RETRY_MILLIS, () -> cancel(id, (node + 1) % nodes.size()));
                    }
                });
    }

    /**
     * Sends a request on a connection of its own, as users behind a load balancer do; without a
     * body it is a query.
     *
     * @param onResponse receives whether the node said in time what the job's state is
     */
    private void send(
            String id,
            int node,
            String path,
            byte[] body,
            long timeoutMillis,
            Consumer<Boolean> onResponse) {
        double askedAt = emulator.nowSeconds();
        HttpClient.Request request =
                body == null ? HttpClient.Request.get(path) : HttpClient.Request.post(path, body);
        loop.execute(
                () ->
                        HttpClient.callOnce(
                                loop,
                                nodes.get(node),
                                MAX_RESPONSE_BYTES,
                                request,
                                timeoutMillis,
                                response ->
                                        later(
                                                0,
                                                () ->
                                                        onResponse.accept(
                                                                isAnswer(id, response, askedAt)))));
    }

    private boolean isAnswer(String id, HttpResponse response, double askedAt) {
        boolean isAnswer =
                switch (response.status()) {
                    case 200, 201 -> {
                        check(id, response, askedAt);
                        yield true;
                    }
                    case 404 -> {
                        hear(id, new JobResponse(Verdict.NOT_FOUND, null), askedAt);
                        yield false;
                    }
                    case 400, 422 -> {
                        hear(id, new JobResponse(Verdict.REFUSED, null), askedAt);
                        yield false;
                    }
                    default -> false;
                };
        (isAnswer ? answerCount : unansweredCount).incrementAndGet();
        return isAnswer;
    }

    private void check(String id, HttpResponse response, double askedAt) {
        Map<?, ?> document = (Map<?, ?>) MessagePackCodec.decode(response.body());
        String name = (String) document.get("status");
        String status = STATUS_NAMES.getOrDefault(name, name);
        hear(id, new JobResponse(Verdict.KNOWN, new JobStatus(id, status, 0, 0)), askedAt);
        if (status.equals("done") || status.equals("cancelled")) {
            ended.add(id);
        }
    }

    private void hear(String id, JobResponse response, double askedAt) {
        emulator.run(() -> cluster.invariants.checkAnswerToUser(id, response, askedAt));
    }

    private void later(long millis, Runnable action) {
        if (!executor.isShutdown()) {
            executor.schedule(action, millis, TimeUnit.MILLISECONDS);
        }
    }
}
