package io.kitepath.core;

import io.kitepath.core.model.CellMessage;
import io.kitepath.core.model.CheckIn;
import io.kitepath.core.model.Directory;
import io.kitepath.core.model.Facts;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobState;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.model.Order;
import io.kitepath.core.model.Progress;
import io.kitepath.core.model.Report;
import io.kitepath.core.model.Report.Cause;
import io.kitepath.core.model.Report.State;
import io.kitepath.core.model.Report.TaskReport;
import io.kitepath.core.model.Tree;
import io.kitepath.core.port.Cloud;
import io.kitepath.core.port.Siblings;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Timers;
import io.kitepath.core.serve.Registry;
import io.kitepath.core.state.Keys;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.IntPredicate;
import java.util.function.IntToDoubleFunction;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * A small world in memory for stories: a clock, a store, a cloud, workers and up to three controllers. Nothing here
 * waits for real time, and nothing is random without a seed.
 */
final class World {
    static final double REPORT_S = 1;
    static final double LEASE_S = 10;

    /** The time, and what is due when, for one world or for several that have something to do with each other. */
    static final class Clock {
        private record Due(double at, long order, Runnable run) {}

        private final PriorityQueue<Due> due =
                new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::order));
        private long ordered;
        double now = 100;
        final List<World> worlds = new ArrayList<>();

        void after(double s, Runnable r) {
            due.add(new Due(now + s, ordered++, r));
        }

        void run(double seconds) {
            double until = now + seconds;
            while (!due.isEmpty() && due.peek().at <= until) {
                Due d = due.poll();
                now = Math.max(now, d.at);
                d.run.run();
            }
            now = until;
        }
    }

    final Clock clock;
    /** The cells that this world is one of, or null. */
    private final Cellular around;
    final Directory directory;
    /** Changes a second that the settings allow. */
    double writeRps = 1000;

    final Map<String, Facts.Team> teams = new LinkedHashMap<>();
    /** What the settings name as siblings, whether or not they run. */
    final List<String> siblings = new ArrayList<>();
    final List<Facts.Objective> objectives = new ArrayList<>();
    final FakeStore store = new FakeStore();
    final FakeCloud cloud = new FakeCloud();
    final Map<String, NodeInWorld> nodes = new LinkedHashMap<>();
    final Map<String, Worker> workers = new TreeMap<>();
    /** Jobs that fail on every machine. */
    final Set<String> mistaken = new HashSet<>();
    /** Workers get no direct commands. */
    boolean refuseDirect;
    /** How late they come. */
    double directDelayS = 0.002;
    /**
     * How long a machine fetches an image that it does not have, by its name; with this set, the tasks of a gang wait
     * for each other, and give up after the settings' time.
     */
    ToDoubleFunction<String> fetchS;
    Map<String, JobSpec> specs = new HashMap<>();
    /** Tasks that completed, by job. */
    final Map<String, Set<Integer>> completed = new HashMap<>();
    /** What broke: a task that starts while it is on another machine. */
    final List<String> broken = new ArrayList<>();
    MachineType type = new MachineType("m4", 4, 0, 16, 50, 1, 1.0, 0.4, 40, List.of("a", "b"));
    List<String> zones = List.of("a", "b");

    World() {
        this(new Clock(), null, null);
    }

    /** One cell among others, which share a clock. */
    World(Clock clock, Cellular around, Directory directory) {
        this.clock = clock;
        this.around = around;
        this.directory = directory;
        clock.worlds.add(this);
        teams.put("red", new Facts.Team("red", 0, 0, 0, 0));
    }

    void after(double s, Runnable r) {
        clock.after(s, r);
    }

    void run(double seconds) {
        clock.run(seconds);
    }

    Facts facts(String node) {
        return new Facts(node, "a", siblings, zones, teams, objectives,
                new Facts.Workers(REPORT_S, LEASE_S, 30, 5, 30), new Facts.StoreLimits(1000, writeRps, 8, 40),
                new Facts.CloudLimits(10, 2), new Facts.Limits(1, 200, 1000), 5);
    }

    NodeInWorld node(String name) {
        NodeInWorld n = new NodeInWorld(name);
        nodes.put(name, n);
        n.controller.start();
        return n;
    }

    NodeInWorld leader() {
        return nodes.values().stream().filter(n -> n.alive && n.controller.leadership.leading()
                && n.controller.leadership.token() == store.token()).findFirst().orElseThrow();
    }

    Worker worker(String id, String zone) {
        Worker w = new Worker(id, zone);
        workers.put(id, w);
        cloud.machines.put(id, new Cloud.Listed(id, type.name(), zone, false, "running", 60));
        after(0, w::report);
        return w;
    }

    Worker spotWorker(String id, String zone) {
        Worker w = worker(id, zone);
        w.spot = true;
        cloud.machines.put(id, new Cloud.Listed(id, type.name(), zone, true, "running", 60));
        return w;
    }

    static JobSpec onSpot(JobSpec s, double estimateS) {
        return new JobSpec(s.id(), s.jobClass(), s.team(), s.shape(), s.priority(), s.tasks(), s.cpus(), s.gpus(),
                s.memoryGb(), s.types(), s.zone(), s.oneZone(), s.spread(), true, s.image(), s.imageGb(),
                estimateS, s.checkpointS(), s.saveS(), s.deadlineS());
    }

    static JobSpec job(String id, JobSpec.Shape shape, int tasks, double cpus) {
        return new JobSpec(id, "work", "red", shape, JobSpec.Priority.NORMAL, tasks, cpus, 0, 1, null, null, false,
                false, false, "img", 1, 20, 0, 0, null);
    }

    static JobSpec with(JobSpec s, String team, JobSpec.Priority priority, boolean oneZone) {
        return new JobSpec(s.id(), s.jobClass(), team, s.shape(), priority, s.tasks(), s.cpus(), s.gpus(),
                s.memoryGb(), s.types(), s.zone(), oneZone, s.spread(), s.spot(), s.image(), s.imageGb(),
                s.estimateS(), s.checkpointS(), s.saveS(), s.deadlineS());
    }

    Registry.Answer submit(NodeInWorld n, JobSpec s) {
        Registry.Answer[] got = new Registry.Answer[1];
        specs.put(s.id(), s);
        n.controller.registry().submit(s, a -> got[0] = a);
        run(0.1);
        return got[0];
    }

    Registry.Answer cancel(NodeInWorld n, String id) {
        Registry.Answer[] got = new Registry.Answer[1];
        n.controller.registry().cancel(id, a -> got[0] = a);
        run(0.1);
        return got[0];
    }

    Registry.Answer ask(NodeInWorld n, String id) {
        Registry.Answer[] got = new Registry.Answer[1];
        n.controller.registry().status(id, a -> got[0] = a);
        run(0.1);
        return got[0];
    }

    String status(NodeInWorld n, String id) {
        Registry.Answer a = ask(n, id);
        return a.verdict() == Registry.Verdict.KNOWN ? a.state().status() : a.verdict().toString();
    }

    /** How many tasks of the job are on machines. */
    long onMachines(String job) {
        return workers.values().stream().filter(w -> w.up).flatMap(w -> w.tasks.values().stream())
                .filter(t -> t.job.equals(job) && t.state != State.ENDED).count();
    }

    // ---- controllers ----------------------------------------------------------------------------

    final class NodeInWorld implements Timers, Siblings {
        final String name;
        final Controller controller;
        boolean alive = true;
        double frozenUntil;
        /** Cut off from the store, as is what it sent there unless it is delivered late. */
        boolean cutFromStore;
        /** Siblings that it can't reach, nor they it. */
        final Set<String> cutFrom = new HashSet<>();
        /** What it asked of the store, watches apart. */
        int requests;

        NodeInWorld(String name) {
            this.name = name;
            this.controller = new Controller(facts(name), new Link(this), new CloudLink(this), this::direct, this, this,
                    new Random(7 + name.hashCode()), directory, around == null ? null : this::askCell);
        }

        private void direct(String address, long token, long session, List<Order> orders, Consumer<Report> answer) {
            Worker x = workers.get(address);
            if (x == null || x.cut || !x.up || refuseDirect) {
                after(0.5, () -> answer.accept(null));
                return;
            }
            World.this.after(directDelayS, () -> {
                boolean takes = token >= x.token && session == x.session;
                if (takes) {
                    x.token = token;
                    orders.forEach(x::execute);
                }
                Report r = takes ? x.message() : null;
                after(0.002, () -> answer.accept(r));
            });
        }

        private void askCell(String cell, String node, CellMessage m, Consumer<CellMessage> answer) {
            around.ask(World.this, this, cell, node, m, answer);
        }

        void crash() {
            alive = false;
        }

        @Override
        public double now() {
            return clock.now;
        }

        @Override
        public double wallMs() {
            return clock.now * 1000;
        }

        @Override
        public void after(double seconds, Runnable run) {
            World.this.after(Math.max(0.001, seconds), () -> deliver(run));
        }

        /** What comes while the process stands still waits until it goes on. */
        void deliver(Runnable run) {
            if (alive && clock.now < frozenUntil) {
                World.this.after(frozenUntil - clock.now, () -> deliver(run));
            } else if (alive) {
                run.run();
            }
        }

        @Override
        public void tell(long token, String leader, boolean served) {
            nodes.values().stream().filter(n -> n != this && n.alive && reaches(n)).forEach(n ->
                    n.after(0.001, () -> n.controller.told(name, token, leader != null, served)));
        }

        @Override
        public void over(JobState job) {
            nodes.values().stream().filter(n -> n != this && n.alive && reaches(n)).forEach(n ->
                    n.after(0.001, () -> n.controller.toldOver(job)));
        }

        @Override
        public void progress(String leader, List<String> jobs, Consumer<List<Progress>> answer) {
            NodeInWorld n = nodes.get(leader);
            boolean[] heard = new boolean[1];
            Consumer<List<Progress>> once = p -> {
                if (!heard[0]) {
                    heard[0] = true;
                    answer.accept(p);
                }
            };
            n.after(0.001, () -> {
                List<Progress> p = n.controller.progress(jobs);
                after(0.001, () -> once.accept(p));
            });
            after(0.5, () -> once.accept(List.of()));
        }

        @Override
        public boolean relay(String sibling, Report report, boolean passOn, Consumer<CheckIn> answer) {
            NodeInWorld n = nodes.get(sibling);
            if (n == null || !reaches(n)) {
                return false;
            }
            n.after(0.001, () -> n.controller.answerFor(report, passOn, c -> after(0.001, () -> answer.accept(c))));
            return true;
        }

        private boolean reaches(NodeInWorld other) {
            return !cutFrom.contains(other.name) && !other.cutFrom.contains(name);
        }
    }

    // ---- the store ------------------------------------------------------------------------------

    /** The state service: keys, leases, follows; can refuse, or lose an answer, or execute late. */
    final class FakeStore {
        final TreeMap<String, Store.Entry> keys = new TreeMap<>();
        final Map<String, Long> lease = new HashMap<>();
        final Map<Long, Double> leases = new HashMap<>();
        final Map<Long, Double> life = new HashMap<>();
        final List<Store.Entry> log = new ArrayList<>();
        long revision = 1;
        long nextLease = 1;
        boolean out;
        /** Pages asked for, and which of them are refused. */
        int pages;
        IntPredicate refusePage = n -> false;
        /** The next transactions are executed, but nobody hears of it. */
        int swallow;
        /** The next transactions get no answer, and are kept to be executed late. */
        int hold;
        final List<Store.Transaction> heldBack = new ArrayList<>();
        /** Transactions that get no answer and are kept, as by a network that delivers them some other time. */
        Predicate<Store.Transaction> withheld = t -> false;
        /** Sees every transaction that was executed and changed something, and by whom. */
        BiConsumer<NodeInWorld, Store.Transaction> written = (n, t) -> { };
        long changes;

        long token() {
            Store.Entry e = keys.get(Keys.TOKEN);
            return e == null ? 0 : Tree.of(e.value()).count("token");
        }

        void expire() {
            for (Long id : new ArrayList<>(leases.keySet())) {
                if (!out && leases.get(id) < clock.now) {
                    end(id);
                }
            }
        }

        void end(long id) {
            leases.remove(id);
            for (String k : new ArrayList<>(lease.keySet())) {
                if (lease.get(k) == id) {
                    put(k, null, 0, ++revision);
                }
            }
        }

        void outage(double seconds) {
            out = true;
            World.this.after(seconds, () -> {
                out = false;
                leases.replaceAll((id, t) -> clock.now + life.get(id));
            });
        }

        void put(String k, Object v, long l, long r) {
            Store.Entry e = new Store.Entry(k, v, r);
            lease.remove(k);
            if (v == null) {
                keys.remove(k);
            } else {
                keys.put(k, e);
                if (l != 0) {
                    lease.put(k, l);
                }
            }
            log.add(e);
        }

        Store.Committed execute(Store.Transaction t) {
            expire();
            List<String> failed = new ArrayList<>();
            for (Store.Condition c : t.conditions()) {
                Store.Entry e = keys.get(c.key());
                if ((e == null ? 0 : e.revision()) != c.revision()) {
                    failed.add(c.key());
                }
            }
            if (!failed.isEmpty()) {
                return new Store.Committed(Store.Outcome.NO, 0, failed, false);
            }
            long r = t.writes().isEmpty() ? revision : ++revision;
            t.writes().forEach(w -> put(w.key(), w.value(), w.lease(), r));
            return new Store.Committed(Store.Outcome.OK, r, List.of(), false);
        }
    }

    /** One node's connection to the store. */
    private final class Link implements Store {
        private final NodeInWorld node;

        Link(NodeInWorld node) {
            this.node = node;
        }

        /** Runs on the store a moment later, and the answer on the node a moment after that. */
        private void exchange(Runnable served, Runnable refused) {
            node.requests++;
            World.this.after(0.002, () -> {
                store.expire();
                boolean no = store.out || node.cutFromStore;
                (no ? refused : served).run();
            });
        }

        private void back(Runnable r) {
            node.after(0.002, r);
        }

        @Override
        public void get(String key, BiConsumer<Outcome, Entry> answer) {
            exchange(() -> {
                Entry e = store.keys.get(key);
                back(() -> answer.accept(e == null ? Outcome.NO : Outcome.OK, e));
            }, () -> back(() -> answer.accept(Outcome.REFUSED, null)));
        }

        @Override
        public void page(String prefix, String from, int limit, Consumer<Listing> answer) {
            exchange(() -> {
                store.pages++;
                if (store.refusePage.test(store.pages)) {
                    back(() -> answer.accept(new Listing(Outcome.REFUSED, List.of(), 0, false)));
                    return;
                }
                List<Entry> all = store.keys.tailMap(from.isEmpty() ? prefix : from, from.isEmpty()).values().stream()
                        .filter(e -> e.key().startsWith(prefix)).toList();
                long r = store.revision;
                back(() -> answer.accept(new Listing(Outcome.OK, all.subList(0, Math.min(limit, all.size())), r,
                        all.size() > limit)));
            }, () -> back(() -> answer.accept(new Listing(Outcome.REFUSED, List.of(), 0, false))));
        }

        @Override
        public void commit(Transaction t, Consumer<Committed> answer) {
            exchange(() -> {
                boolean job = t.writes().stream().anyMatch(w -> w.key().startsWith("jobs/"));
                if (job && store.hold > 0 || store.withheld.test(t)) {
                    store.hold -= store.hold > 0 ? 1 : 0;
                    store.heldBack.add(t);
                    node.after(0.5, () -> answer.accept(new Committed(Outcome.UNKNOWN, 0, List.of(), false)));
                    return;
                }
                Committed c = store.execute(t);
                if (c.outcome() == Outcome.OK && !t.writes().isEmpty()) {
                    store.changes += t.writes().size();
                    store.written.accept(node, t);
                }
                if (job && store.swallow > 0) {
                    store.swallow--;
                    node.after(0.5, () -> answer.accept(new Committed(Outcome.UNKNOWN, 0, List.of(), false)));
                    return;
                }
                back(() -> answer.accept(c));
            }, () -> back(() -> answer.accept(new Committed(Outcome.REFUSED, 0, List.of(), false))));
        }

        @Override
        public void grant(long lifeMs, BiConsumer<Outcome, Long> answer) {
            exchange(() -> {
                long id = store.nextLease++;
                store.leases.put(id, clock.now + lifeMs / 1000.0);
                store.life.put(id, lifeMs / 1000.0);
                back(() -> answer.accept(Outcome.OK, id));
            }, () -> back(() -> answer.accept(Outcome.REFUSED, null)));
        }

        @Override
        public void renew(long lease, Consumer<Outcome> answer) {
            exchange(() -> {
                boolean there = store.leases.containsKey(lease);
                if (there) {
                    store.leases.put(lease, clock.now + store.life.get(lease));
                }
                back(() -> answer.accept(there ? Outcome.OK : Outcome.NO));
            }, () -> back(() -> answer.accept(Outcome.REFUSED)));
        }

        @Override
        public void revoke(long lease) {
            exchange(() -> store.end(lease), () -> { });
        }

        @Override
        public void follow(String prefix, long after, long holdMs, Consumer<Changes> answer) {
            double until = clock.now + holdMs / 1000.0;
            watch(prefix, after, until, answer);
        }

        private void watch(String prefix, long after, double until, Consumer<Changes> answer) {
            World.this.after(0.01, () -> {
                store.expire();
                boolean no = store.out || node.cutFromStore;
                List<Entry> events = no ? List.of() : store.log.stream()
                        .filter(e -> e.key().startsWith(prefix) && e.revision() > after).toList();
                if (!events.isEmpty() || clock.now >= until) {
                    long r = no ? after : store.revision;
                    back(() -> answer.accept(new Changes(Outcome.OK, r, events)));
                } else if (node.alive) {
                    watch(prefix, after, until, answer);
                }
            });
        }
    }

    // ---- the cloud ------------------------------------------------------------------------------

    final class FakeCloud {
        final TreeMap<String, Cloud.Listed> machines = new TreeMap<>();
        final List<String> rentals = new ArrayList<>();
        final List<String> released = new ArrayList<>();
        int capacity;
        /** When the n-th rented machine comes up, in seconds; negative: never. */
        IntToDoubleFunction bootS = n -> 0;
        private int booted;
        private int named;
    }

    private final class CloudLink implements Cloud {
        private final NodeInWorld node;

        CloudLink(NodeInWorld node) {
            this.node = node;
        }

        @Override
        public void types(BiConsumer<Store.Outcome, List<MachineType>> answer) {
            node.after(0.05, () -> answer.accept(Store.Outcome.OK, List.of(type)));
        }

        @Override
        public void rent(String name, MachineKind kind, int count, BiConsumer<Store.Outcome, List<String>> answer) {
            World.this.after(0.05, () -> {
                cloud.rentals.add(name);
                List<String> got = new ArrayList<>();
                for (int i = 0; i < count && cloud.capacity > 0; i++, cloud.capacity--) {
                    String id = String.format("i-9%05d", cloud.named++);
                    got.add(id);
                    boot(id, kind.zone());
                }
                node.after(0.05, () -> answer.accept(got.isEmpty() ? Store.Outcome.NO : Store.Outcome.OK, got));
            });
        }

        private void boot(String id, String zone) {
            double s = cloud.bootS.applyAsDouble(cloud.booted++);
            if (s == 0) {
                worker(id, zone);
                return;
            }
            cloud.machines.put(id, new Cloud.Listed(id, type.name(), zone, false, "starting", 0));
            World.this.after(s < 0 ? 1e9 : s, () -> {
                if (cloud.machines.containsKey(id)) {
                    worker(id, zone);
                }
            });
        }

        @Override
        public void release(List<String> names, Consumer<Store.Outcome> answer) {
            World.this.after(0.05, () -> {
                names.forEach(n -> {
                    cloud.machines.remove(n);
                    cloud.released.add(n);
                    if (workers.containsKey(n)) {
                        workers.get(n).die();
                    }
                });
                node.after(0.05, () -> answer.accept(Store.Outcome.OK));
            });
        }

        @Override
        public void list(BiConsumer<Store.Outcome, List<Listed>> answer) {
            List<Listed> all = List.copyOf(cloud.machines.values());
            node.after(0.05, () -> answer.accept(Store.Outcome.OK, all));
        }
    }

    // ---- workers --------------------------------------------------------------------------------

    static final class Task {
        final String job;
        final int number;
        final long attempt;
        State state;
        Cause cause;

        Task(String job, int number, long attempt, State state) {
            this.job = job;
            this.number = number;
            this.attempt = attempt;
            this.state = state;
        }
    }

    /** A machine with its worker, by the protocol: one report in flight, sessions, tokens, leases. */
    final class Worker {
        final String id;
        final String zone;
        final Map<String, Task> tasks = new LinkedHashMap<>();
        final Set<String> images = new HashSet<>();
        long session = 1;
        long sequence;
        long token;
        boolean up = true;
        /** Its packets get lost. */
        boolean cut;
        boolean fails;
        boolean spot;
        double runsFor = 20;
        private double answered = clock.now;
        private String node;
        int started;

        Worker(String id, String zone) {
            this.id = id;
            this.zone = zone;
        }

        void die() {
            up = false;
            tasks.clear();
        }

        Report message() {
            return new Report(id, id, type.name(), zone, spot, session, ++sequence, token, null, tasks.values().stream()
                    .map(t -> new TaskReport(t.job, t.number, t.attempt, t.state, t.cause)).toList());
        }

        private NodeInWorld target() {
            NodeInWorld n = node == null ? null : nodes.get(node);
            if (n == null || !n.alive) {
                List<String> alive = nodes.values().stream().filter(x -> x.alive).map(x -> x.name).toList();
                node = alive.isEmpty() ? null : alive.get((int) (sequence % alive.size()));
            }
            return node == null ? null : nodes.get(node);
        }

        void report() {
            if (!up) {
                return;
            }
            if (clock.now - answered > LEASE_S) {
                tasks.clear();
                session++;
                answered = clock.now;
            }
            NodeInWorld n = target();
            long mySession = session;
            double sent = clock.now;
            boolean[] heard = new boolean[1];
            if (n != null && !cut) {
                Report r = message();
                World.this.after(0.002, () -> {
                    n.deliver(() -> n.controller.checkIn(r, c -> World.this.after(0.002, () -> {
                        if (!heard[0] && up && session == mySession && !cut) {
                            heard[0] = true;
                            hear(c, sent);
                        }
                    })));
                });
            }
            World.this.after(4, () -> {
                if (!heard[0] && up) {
                    heard[0] = true;
                    node = null;
                    World.this.after(0.2, this::report);
                }
            });
        }

        private void hear(CheckIn c, double sent) {
            if (c.token() == 0) {
                node = c.anchor();
                World.this.after(c.anchor() == null ? 1 : 0.1, this::report);
                return;
            }
            if (c.token() >= token) {
                token = c.token();
                answered = sent;
                c.orders().forEach(this::execute);
            }
            World.this.after(Math.max(0.5, REPORT_S - (clock.now - sent)), this::report);
        }

        void execute(Order o) {
            String key = o.job() + "/" + o.task() + "#" + o.attempt();
            Task t = tasks.get(key);
            switch (o.verb()) {
                case START -> {
                    if (t == null) {
                        start(o, key);
                    }
                }
                case STOP -> {
                    if (t != null && t.state != State.ENDED) {
                        t.state = State.ENDED;
                        t.cause = Cause.STOPPED;
                    }
                }
                case FORGET -> {
                    if (t != null && t.state == State.ENDED) {
                        tasks.remove(key);
                    }
                }
            }
        }

        private void fetched(Task t, String key, JobSpec s) {
            if (tasks.get(key) != t || t.state != State.FETCHING) {
                return; // Given up, and what was fetched with it.
            }
            images.add(s.image());
            t.state = State.WAITING;
            List<Task> gang = workers.values().stream().flatMap(w -> w.tasks.values().stream()).filter(x ->
                    x.job.equals(t.job) && x.attempt == t.attempt && x.state == State.WAITING).toList();
            if (gang.size() == s.tasks()) {
                gang.forEach(x -> x.state = State.RUNNING);
                World.this.after(runsFor, () -> gang.stream().filter(x -> x.state == State.RUNNING).forEach(x -> {
                    x.state = State.ENDED;
                    x.cause = Cause.DONE;
                }));
                return;
            }
            World.this.after(30, () -> {
                if (t.state == State.WAITING) {
                    t.state = State.ENDED;
                    t.cause = Cause.ALONE;
                }
            });
        }

        private void start(Order o, String key) {
            for (Worker w : clock.worlds.stream().flatMap(x -> x.workers.values().stream()).toList()) {
                for (Task other : w.tasks.values()) {
                    if (w.up && other.state != State.ENDED && other.job.equals(o.job()) && other.number == o.task()) {
                        broken.add("ran twice: " + key + " on " + id + " and " + w.id);
                    }
                }
            }
            started++;
            Task t = new Task(o.job(), o.task(), o.attempt(), State.RUNNING);
            tasks.put(key, t);
            JobSpec s = specs.get(o.job());
            if (fetchS != null && s.gang()) {
                t.state = State.FETCHING;
                World.this.after(images.contains(s.image()) ? 0 : fetchS.applyAsDouble(id), () -> fetched(t, key, s));
                return;
            }
            boolean error = fails || mistaken.contains(o.job());
            World.this.after(error ? 0.1 : runsFor, () -> {
                if (up && tasks.get(key) == t && t.state != State.ENDED) {
                    t.state = State.ENDED;
                    t.cause = error ? Cause.ERROR : Cause.DONE;
                    if (!error) {
                        completed.computeIfAbsent(t.job, k -> new HashSet<>()).add(t.number);
                    }
                }
            });
        }
    }
}
