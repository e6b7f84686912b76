import java.util.ArrayList;
import java.util.List;

/**
 * A team is at its limit with single-task jobs. Two machines hear no answers for longer than the
 * workers' lease; as their tasks are over, urgent jobs of the team start in their place. Then the
 * leading controller crashes.
 */
public final class CaseQuota {
    private static final double LIMIT_CPUS = 32;
    private static final double TASK_CPUS = 0.25;
    private static final int JOBS = (int) (LIMIT_CPUS / TASK_CPUS);
    private static final double DEAF_SECONDS = 12.5;

    /** How long after the first urgent task has started the leader crashes. */
    private static final double CRASH_AFTER_SECONDS =
            Double.parseDouble(System.getenv().getOrDefault("CRASH_S", "0.5"));

    /** By hand, STOP=TERM: the leader is asked to end, as at any restart, and hands over. */
    private static final boolean IS_STOPPED_ON_PURPOSE = "TERM".equals(System.getenv("STOP"));

    public static void main(String[] args) {
        Env.Site site = Env.Site.etiketaPress();
        site.cpusMax = LIMIT_CPUS;
        Env.main(args, site, CaseQuota::run);
    }

    private static void run(Env env) throws Exception {
        env.limitCpus = LIMIT_CPUS;
        env.cloud.capacityPerZone = 2;
        env.cloud.spotCapacityPerZone = 0;
        for (int i = 0; i < 2; i++) {
            for (String zone : env.site.zones) {
                env.cloud.add(zone, false);
            }
        }
        env.startAll();
        Env.sleep(3000);
        submit(env, "j-1", "low", "kalamaria");
        double until = Env.now() + 30;
        while (env.runningTasks("j-1") < JOBS) {
            if (Env.now() > until) {
                throw new IllegalStateException("only " + env.runningTasks("j-1") + " tasks run");
            }
            Env.sleep(100);
        }
        env.record("the team is at its limit: " + env.usedCpus() + " CPUs");
        submit(env, "j-2", "high", "sindos");
        Env.sleep(2000);
        if (env.runningTasks("j-2") > 0) {
            throw new IllegalStateException("the team's limit leaves room");
        }
        if (Env.isCalm()) {
            Env.sleep(30_000);
            env.record("urgent tasks that run: " + env.runningTasks("j-2") + ", others: "
                    + env.runningTasks("j-1") + ", CPUs: " + env.usedCpus());
            return;
        }
        List<Worker> deaf = new ArrayList<>();
        for (Worker worker : env.workers.values()) {
            if (deaf.size() < 2 && !env.tasksOn(worker.host.id).isEmpty()) {
                deaf.add(worker);
            }
        }
        for (Worker worker : deaf) {
            env.record("machine " + worker.host.id + ": hears nothing from now on, has "
                    + env.tasksOn(worker.host.id).size() + " tasks");
            worker.isDeaf = true;
        }
        Env.later(
                DEAF_SECONDS,
                () -> {
                    for (Worker worker : deaf) {
                        env.record("machine " + worker.host.id + ": hears again, has "
                                + env.tasksOn(worker.host.id).size() + " tasks");
                        worker.isDeaf = false;
                    }
                });
        until = Env.now() + 30;
        while (env.runningTasks("j-2") == 0) {
            if (Env.now() > until) {
                throw new IllegalStateException("no urgent job started");
            }
            Env.sleep(5);
        }
        Env.sleep((long) (1000 * CRASH_AFTER_SECONDS));
        env.record("urgent tasks that run: " + env.runningTasks("j-2") + ", others: "
                + env.runningTasks("j-1") + ", CPUs: " + env.usedCpus());
        String leader = env.leader();
        if (IS_STOPPED_ON_PURPOSE) {
            env.signal(leader, "TERM");
        } else {
            env.kill(leader);
        }
        Env.sleep(6000);
        env.start(leader);
        for (int i = 0; i < 5; i++) {
            Env.sleep(2000);
            env.record("urgent tasks that run: " + env.runningTasks("j-2") + ", others: "
                    + env.runningTasks("j-1") + ", CPUs: " + env.usedCpus());
        }
    }

    private static void submit(Env env, String prefix, String urgency, String zone) {
        for (int i = 0; i < JOBS; i++) {
            Env.Job job =
                    env.job(String.format("%s%05d", prefix, i), 1, TASK_CPUS, 1e6, 150);
            job.body.put("urgency", urgency);
            job.body.put("field", zone);
            job.body.put("lane", "thumb-swarm");
            if (!env.submit(job)) {
                throw new IllegalStateException("a job was not accepted");
            }
        }
    }
}
