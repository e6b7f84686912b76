package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Pipelines of two jobs: the first runs, the second waits for it. The first jobs are cancelled at
 * the moment at which the state service begins to refuse the leader alone, and a second later it is
 * out for longer than cancel_s. The leader is served a second later than the others after the outage,
 * well before its lease runs out. Users ask about the second jobs at all nodes. With TROUBLE=0 the
 * state service serves everybody the whole time.
 */
public final class PendingAfterOutage {
    private static final int PIPELINES = 20;
    private static final double OUTAGE_SECONDS = Deployment.CANCEL_SECONDS + 8;

    /** For how long the leader alone is refused, before the outage and after it. */
    private static final double LEADER_REFUSED_SECONDS = 1;

    private static final double POLL_SECONDS = 6;
    private static final double POLL_PAUSE_SECONDS = 0.25;

    private PendingAfterOutage() {}

    public static void main(String[] args) {
        int code = 2;
        boolean withTrouble = !"0".equals(System.getenv("TROUBLE"));
        try (Deployment deployment = new Deployment(Path.of(args[0]), Path.of(args[1]), 4)) {
            deployment.write("with the outage: " + withTrouble);
            code = run(deployment, withTrouble) ? 0 : 1;
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.out.println("exit code " + code);
        Runtime.getRuntime().halt(code);
    }

    private static boolean run(Deployment deployment, boolean withTrouble) throws Exception {
        deployment.cluster.taskSeconds = id -> 600;
        deployment.gateStateService();
        deployment.startNodes();
        Map<String, String> firstOf = new LinkedHashMap<>();
        for (int pipeline = 0; pipeline < PIPELINES; pipeline++) {
            String first = String.format("j-%06d", 100_000 + pipeline);
            String second = String.format("j-%06d", 200_000 + pipeline);
            require(
                    deployment.submit(Deployment.job(first, "array", 1, 1), pipeline % 3),
                    first + " accepted");
            Map<String, Object> document = Deployment.job(second, "array", 1, 1);
            document.put("awaits", List.of(first));
            require(deployment.submit(document, pipeline % 3), second + " accepted");
            firstOf.put(second, first);
        }
        String lastFirst = firstOf.get(String.format("j-%06d", 200_000 + PIPELINES - 1));
        require(
                Deployment.await(
                        30, () -> deployment.ask(0, lastFirst).status().equals("running")),
                "the first jobs run");
        deployment.write(PIPELINES + " first jobs run, as many second jobs wait");
        int leader = deployment.leader();
        require(leader >= 0, "a leader is known");
        deployment.write("controller " + leader + " leads");
        Thread.sleep(1500);
        double begin = deployment.seconds();
        if (withTrouble) {
            deployment.refuseAlone(leader, true);
        }
        Map<String, Double> toldAt = cancelAll(deployment, firstOf.values(), leader);
        Thread.sleep(Math.max(0, Math.round(1000 * (begin + LEADER_REFUSED_SECONDS - deployment.seconds()))));
        if (withTrouble) {
            deployment.emulator.run(() -> deployment.cluster.store.outage(OUTAGE_SECONDS));
            deployment.write("the state service is out");
        }
        require(toldAt.size() > 0, "any job cancelled");
        double outageEnd = begin + LEADER_REFUSED_SECONDS + OUTAGE_SECONDS;
        Thread.sleep(Math.max(0, Math.round(1000 * (outageEnd - 0.3 - deployment.seconds()))));
        deployment.write("the outage is about to end, or ends");
        if (withTrouble) {
            Thread serveLeader =
                    new Thread(
                            () -> {
                                sleep(outageEnd + LEADER_REFUSED_SECONDS - deployment.seconds());
                                deployment.refuseAlone(leader, false);
                            });
            serveLeader.start();
        }
        return poll(deployment, firstOf, toldAt, outageEnd + POLL_SECONDS);
    }

    /** Cancels the jobs at the nodes that don't lead; returns when each user was told. */
    private static Map<String, Double> cancelAll(
            Deployment deployment, Iterable<String> jobs, int leader) throws Exception {
        Map<String, Double> toldAt = new ConcurrentHashMap<>();
        List<Thread> users = new ArrayList<>();
        int next = 0;
        for (String job : jobs) {
            int node = (leader + 1 + next++ % 2) % deployment.nodes();
            Thread user =
                    new Thread(
                            () -> {
                                Deployment.Answer answer = deployment.cancel(node, job);
                                if (answer.code == 200 && answer.status().equals("withdrawn")) {
                                    toldAt.put(job, deployment.seconds());
                                }
                            });
            user.start();
            users.add(user);
        }
        for (Thread user : users) {
            user.join();
        }
        return toldAt;
    }

    /**
     * Asks all nodes about the second jobs, again and again. Counts an answer if the question was
     * sent more than cancel_s after the user was told that the first job is cancelled.
     */
    private static boolean poll(
            Deployment deployment,
            Map<String, String> firstOf,
            Map<String, Double> toldAt,
            double until)
            throws Exception {
        AtomicInteger broken = new AtomicInteger();
        AtomicInteger withdrawn = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        List<Thread> users = new ArrayList<>();
        for (int n = 0; n < deployment.nodes(); n++) {
            int node = n;
            for (String second : firstOf.keySet()) {
                String first = firstOf.get(second);
                if (!toldAt.containsKey(first)) {
                    continue;
                }
                Thread user =
                        new Thread(
                                () -> {
                                    while (deployment.seconds() < until) {
                                        double askedAt = deployment.seconds();
                                        Deployment.Answer answer = deployment.ask(node, second);
                                        boolean isLate =
                                                askedAt
                                                        > toldAt.get(first)
                                                                + Deployment.CANCEL_SECONDS;
                                        if (answer.code != 200) {
                                            other.incrementAndGet();
                                        } else if (answer.status().equals("withdrawn")) {
                                            withdrawn.incrementAndGet();
                                        } else if (isLate) {
                                            broken.incrementAndGet();
                                            deployment.write(
                                                    String.format(
                                                            "BROKEN orphaned: %s is called %s by"
                                                                    + " controller %d, asked %.1f s"
                                                                    + " after the user of %s was"
                                                                    + " told that it is cancelled:"
                                                                    + " %s",
                                                            second,
                                                            answer.status(),
                                                            node,
                                                            askedAt - toldAt.get(first),
                                                            first,
                                                            answer));
                                        }
                                        sleep(POLL_PAUSE_SECONDS);
                                    }
                                });
                user.start();
                users.add(user);
            }
        }
        for (Thread user : users) {
            user.join();
        }
        deployment.write(
                "answers: withdrawn "
                        + withdrawn
                        + ", pending or running too late "
                        + broken
                        + ", other or none "
                        + other);
        for (int node = 0; node < deployment.nodes(); node++) {
            for (String line :
                    deployment.logLines(node, "leadership", "state loaded", "dependency was")) {
                deployment.write("log of controller " + node + ": " + line);
            }
        }
        return broken.get() == 0;
    }

    private static void sleep(double seconds) {
        try {
            Thread.sleep(Math.max(0, Math.round(1000 * seconds)));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static void require(boolean holds, String what) {
        if (!holds) {
            throw new IllegalStateException("the case could not run: not " + what);
        }
    }
}
