package io.kitepath.core;

import io.kitepath.core.Store.Outcome;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One controller node: puts leadership, the block holder and the users' registry together and runs their loops.
 * Everything happens on one event loop.
 */
public final class Controller {
    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);

    /** The answer to a check-in. {@code token} 0: not entitled; report to {@code anchor}, or elsewhere if null. */
    public record CheckIn(long token, List<Order> orders, String anchor) {
        static CheckIn elsewhere(String anchor) {
            return new CheckIn(0, List.of(), anchor);
        }
    }

    /** What nodes tell each other. */
    public interface Siblings {
        /** To all: this node's view. */
        void tell(long token, String leader, boolean served);

        /** To all: the store has it that this job is over. */
        void over(Registry.JobState job);

        /** Asks the leader how far jobs are; answers an empty list if that can't be had soon. */
        void progress(String leader, List<String> jobs, Consumer<List<Progress>> answer);

        /**
         * Has a sibling answer a check-in, or pass it on to the leader if it may; false if it can't be asked now.
         */
        boolean relay(String sibling, Report report, boolean passOn, Consumer<CheckIn> answer);
    }

    final Facts facts;
    private final Store store;
    private final Cloud cloud;
    private final Timers timers;
    private final DirectCommands direct;
    private final Siblings siblings;
    final Scheduler scheduler;
    final Leadership leadership;
    final Keeper keeper;
    private final Fleet fleet;
    private final Registry registry;
    private double leadingSince;
    private long lease;
    private int rentals;
    private boolean ticking;
    private boolean typesStored;

    private final Bucket cloudCalls;
    private boolean listing;
    private double listedAt = Double.NEGATIVE_INFINITY;
    private double typesAt = Double.NEGATIVE_INFINITY;
    private boolean releasing;
    private boolean renting;
    private final Deque<Rental> unsettled = new ArrayDeque<>();

    private record Rental(String name, Fleet.Kind kind, int count) {}

    /** When a sibling was last heard from. */
    private final Map<String, Double> heard = new HashMap<>();
    private final Set<String> silentSiblings = new HashSet<>();
    /** When a sibling last said that the store serves it. */
    private final Map<String, Double> servedSiblings = new HashMap<>();
    /** When a sibling last said that the store does not serve it. */
    private final Map<String, Double> unservedSiblings = new HashMap<>();
    /** Workers that were sent to the leader, and when. */
    private final Map<String, Double> sentAway = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
            return size() > 2000;
        }
    };
    /** Of the 4 s after which a worker drops an answer. */
    private static final double MAX_PARK_S = 3;

    long checkIns;
    long relayed;

    public Controller(Facts facts, Store store, Cloud cloud, DirectCommands direct, Timers timers, Siblings siblings,
            Random random) {
        this.direct = direct;
        this.facts = facts;
        this.store = store;
        this.cloud = cloud;
        this.timers = timers;
        this.siblings = siblings;
        this.scheduler = new Scheduler(facts, random);
        this.leadership = new Leadership(facts, store, timers, random, new Leading());
        this.keeper = new Keeper(facts, store, timers, scheduler, new Keeping());
        this.fleet = new Fleet(facts, scheduler);
        this.registry = new Registry(facts, store, timers, this::served, new Holder());
        this.cloudCalls = new Bucket(facts.cloud().rps() * 0.6);
        registry.onCancelled(job -> {
            scheduler.jobOver(job.id());
            siblings.over(job);
        });
    }

    public void start() {
        leadership.start();
        learnTypes();
        gossip();
    }

    public Registry registry() {
        return registry;
    }

    public Facts facts() {
        return facts;
    }

    /** The machine types, empty until they are known. */
    public Map<String, MachineType> types() {
        return scheduler.types;
    }

    // ---- leading --------------------------------------------------------------------------------

    private final class Leading implements Leadership.Listener {
        @Override
        public void won(long token, long leaseId, long blockRevision) {
            scheduler.token = token;
            scheduler.machines.values().forEach(m -> m.proven = false);
            lease = leaseId;
            rentals = 0;
            unsettled.clear();
            leadingSince = timers.now();
            tell();
            keeper.start(Keys.BLOCKS + "all", blockRevision, Controller.this::soon);
            if (!ticking) {
                ticking = true;
                tick();
            }
            settleParked();
        }

        @Override
        public void follows(String leader) {
            settleParked();
        }

        @Override
        public void lost(String why) {
            keeper.stop();
            scheduler.forgetJobs();
            scheduler.machines.clear();
            for (String machine : new ArrayList<>(held.keySet())) {
                release(machine);
            }
            tell();
        }
    }

    private final class Keeping implements Keeper.Listener {
        @Override
        public void done(Registry.JobState job) {
            registry.ended(job);
            siblings.over(job);
        }

        @Override
        public void blockLost() {
            leadership.stepDown("the block is no longer ours");
        }

        /** Reads everything again, under the same token. */
        @Override
        public void outOfStep(String why) {
            LOG.warn("reloading: {}", why);
            if (leadership.leading()) {
                keeper.start(Keys.BLOCKS + "all", keeper.blockRevision(), Controller.this::soon);
            }
        }
    }

    private long ticks;
    private double roundS;
    private double roundTook;
    private double roundEnded;
    private boolean soonAsked;

    /** Something changed that may let work be placed or written. */
    private void soon() {
        if (!soonAsked) {
            soonAsked = true;
            // Rounds take at most a fifth of the time: check-ins, users and the lease need the rest.
            double pause = Math.max(0.02, roundEnded + 4 * roundTook - timers.now());
            timers.after(pause, () -> {
                soonAsked = false;
                round();
            });
        }
    }

    private void tick() {
        if (!leadership.leading()) {
            ticking = false;
            return;
        }
        round();
        tendFleet();
        if (LOG.isDebugEnabled() && ++ticks % 20 == 0) {
            LOG.debug("{} rounds={} writes={} checkins={} busy={}", scheduler.summary(), keeper.rounds, keeper.written,
                    checkIns, String.format("%.1f", roundS));
        }
        timers.after(0.25, this::tick);
    }

    private void round() {
        if (!leadership.leading() || !keeper.loaded() || keeper.writing() || !leadership.inTouch()) {
            return;
        }
        double began = timers.now();
        scheduler.place(began, timers.wallMs(), 20 * facts.store().txnOps());
        keeper.write(this::written);
        stopDirectly();
        roundEnded = timers.now();
        roundTook = roundEnded - began;
        roundS += roundTook;
    }

    private int commandsUnderWay;
    private long directCommands;

    private void stopDirectly() {
        long mine = scheduler.token;
        int most = facts.limits().sockets() / 10 - commandsUnderWay;
        scheduler.stops(most, timers.now()).forEach((m, orders) -> {
            if (held.containsKey(m.id)) {
                release(m.id);
                return;
            }
            m.commanded = true;
            commandsUnderWay++;
            directCommands++;
            direct.send(m.address, mine, m.session, orders, report -> {
                m.commanded = false;
                commandsUnderWay--;
                if (report != null && leadership.leading() && scheduler.token == mine) {
                    scheduler.answered(m, report, timers.now());
                    soon();
                }
            });
        });
    }

    // ---- workers --------------------------------------------------------------------------------

    public void checkIn(Report report, Consumer<CheckIn> answer) {
        checkIns++;
        if (report.token() > leadership.highest()) {
            leadership.outbid(report.token(), null);
        }
        if (leadership.leading()) {
            answer(report, answer);
            return;
        }
        String leader = leadership.leader();
        if (leader == null || leader.equals(facts.node())) {
            park(report, null, answer);
            return;
        }
        // A worker that we sent to the leader and that is back did not get through to it, and one that comes with
        // tasks and a token has lost it, this one or the last: ask on its behalf. Sending it away once more would cost
        // it up to 5 s, of a lease that may be 10 s long. From time to time it is sent to try again.
        double now = timers.now();
        double lease = facts.workers().leaseS();
        Double sent = sentAway.get(report.machine());
        boolean back = sent != null && now - sent < 2 * lease;
        boolean lost = sent == null && report.token() > 0
                && (report.token() == leadership.highest() || !report.tasks().isEmpty());
        if (!back && !lost) {
            sentAway.put(report.machine(), now);
            answer.accept(CheckIn.elsewhere(leader));
            return;
        }
        sentAway.putIfAbsent(report.machine(), now);
        relayed++;
        Parked p = park(report, leader, answer);
        if (p != null && !relay(leader, p) && report.tasks().isEmpty()) {
            // One without tasks has nothing to lose; the others wait for another leader, who may come soon.
            settle(p, CheckIn.elsewhere(back ? null : leader));
        }
    }

    /**
     * Asks the leader about a check-in, or a sibling that may still reach it. Guards against work that dies with its
     * lease because two zones can't reach each other: its worker loses the leader, and so does the node next to it.
     */
    private boolean relay(String leader, Parked p) {
        if (!silent(leader) && siblings.relay(leader, p.report, false, x -> settle(p, x))) {
            return true;
        }
        for (String s : facts.siblings()) {
            if (!s.equals(leader) && !silent(s) && siblings.relay(s, p.report, true, x -> {
                if (x.token() > 0) {
                    settle(p, x);
                }
            })) {
                return true;
            }
        }
        return false;
    }

    /** A check-in that a sibling asks about. */
    public void answerFor(Report report, boolean passOn, Consumer<CheckIn> answer) {
        String leader = leadership.leader();
        if (!passOn || leadership.leading() || leader == null || leader.equals(facts.node()) || silent(leader)
                || !siblings.relay(leader, report, false, answer)) {
            answer.accept(answer(report));
        }
    }

    /** A check-in that waits for a leader: while nobody was known to lead ({@code asked} null), or for one's answer. */
    private record Parked(Report report, String asked, Consumer<CheckIn> answer) {}

    private final Map<String, Parked> parked = new LinkedHashMap<>();

    /**
     * Guards against work that dies with its lease although a leader is about to be there: a worker that is told
     * nothing comes back a second later, to another node, where it may wait 4 s if that one is silent, while a takeover
     * takes less. So it waits here until a leader is known: one with tasks for as long as it may, any other for as long
     * as it would have waited before its next try.
     */
    private Parked park(Report report, String asked, Consumer<CheckIn> answer) {
        if (parked.size() >= facts.limits().sockets() / 2) {
            answer.accept(CheckIn.elsewhere(null));
            return null;
        }
        Parked p = new Parked(report, asked, answer);
        Parked older = parked.put(report.machine(), p);
        if (older != null) {
            older.answer.accept(CheckIn.elsewhere(null));
        }
        timers.after(report.tasks().isEmpty() ? 1 : MAX_PARK_S, () -> settle(p, CheckIn.elsewhere(null)));
        return p;
    }

    /** Answers a check-in that waits; nothing happens if it has been answered already. */
    private void settle(Parked p, CheckIn a) {
        if (parked.get(p.report.machine()) == p) {
            parked.remove(p.report.machine());
            p.answer.accept(a);
        }
    }

    /** Another leader is known: what waits for one, or for the answer of the last one, goes to it. */
    private void settleParked() {
        String leader = leadership.leader();
        List<Parked> all = new ArrayList<>(parked.values());
        for (Parked p : all) {
            if (p.asked == null || !p.asked.equals(leader)) {
                parked.remove(p.report.machine(), p);
                checkIn(p.report, p.answer);
            }
        }
    }

    /** The holder's answer to a report that a sibling asks about: at once, for the worker's time is running. */
    private CheckIn answer(Report report) {
        if (!entitled(report)) {
            return CheckIn.elsewhere(leadership.leading() ? null : leadership.leader());
        }
        List<Order> orders = new ArrayList<>(scheduler.checkIn(report, keeper.loaded(), timers.now()));
        orders.addAll(scheduler.commands(report.machine(), leadership.inTouch(), timers.now()));
        if (scheduler.changed) {
            soon();
        }
        return new CheckIn(scheduler.token, orders, null);
    }

    private boolean entitled(Report report) {
        return leadership.leading() && report.token() <= scheduler.token && hearsOfCancellations();
    }

    /**
     * Guards against a holder that is cut off from the store and its siblings but not from workers: jobs may be
     * cancelled behind its back, while its answers keep their tasks alive. It goes on for as long as a cancellation
     * leaves time beyond the workers' lease, and longer only while every sibling says that the store is out for it too.
     */
    private boolean hearsOfCancellations() {
        // One that has not read the jobs yet does not know what was cancelled, also shortly before it began.
        if (keeper.unloadedS() > Math.max(facts.workers().reportS(), cancellationMarginS() - 2 * leadership.lifeS())) {
            return false;
        }
        if (leadership.unservedS() < cancellationMarginS()) {
            return true;
        }
        double now = timers.now();
        return facts.siblings().stream().allMatch(s -> now - unservedSiblings.getOrDefault(s, -1e9) < 3);
    }

    /** For how long workers may be answered without word of cancellations: their leases still have to run out after. */
    private double cancellationMarginS() {
        Facts.Workers w = facts.workers();
        return Math.max(w.reportS(), w.cancelS() - w.leaseS() - 2 * w.reportS() - 1);
    }

    /** A check-in whose answer waits a moment, so that work placed meanwhile starts at once. */
    private record Held(Consumer<CheckIn> answer, List<Order> orders, long token) {}

    private final Map<String, Held> held = new LinkedHashMap<>();

    private void answer(Report report, Consumer<CheckIn> answer) {
        String machine = report.machine();
        release(machine);
        CheckIn now = answer(report);
        boolean idle = now.token() > 0 && now.orders().stream().allMatch(o -> o.verb() == Order.Verb.FORGET);
        double patience = idle && keeper.loaded() && leadership.inTouch() ? scheduler.patience(machine) : 0;
        if (patience == 0) {
            answer.accept(now);
            return;
        }
        Held h = new Held(answer, now.orders(), now.token());
        held.put(machine, h);
        timers.after(patience, () -> {
            if (held.get(machine) == h) {
                release(machine);
            }
        });
    }

    private void release(String machine) {
        Held h = held.remove(machine);
        if (h == null) {
            return;
        }
        if (!leadership.leading() || scheduler.token != h.token) {
            h.answer.accept(CheckIn.elsewhere(leadership.leader()));
            return;
        }
        List<Order> orders = new ArrayList<>(h.orders);
        orders.addAll(scheduler.commands(machine, leadership.inTouch(), timers.now()));
        h.answer.accept(new CheckIn(h.token, orders, null));
    }

    /** What was just written may be launched. */
    private void written() {
        for (String machine : new ArrayList<>(held.keySet())) {
            if (scheduler.hasCommands(machine)) {
                release(machine);
            }
        }
        soon();
    }

    /** One of the node's figures for operators. */
    public record Figure(boolean total, String meaning, java.util.function.DoubleSupplier value) {}

    public Map<String, Figure> figures() {
        Map<String, Figure> f = new LinkedHashMap<>();
        f.put("leading", new Figure(false, "1 while this node leads", () -> leadership.leading() ? 1 : 0));
        f.put("token", new Figure(false, "highest token known", leadership::highest));
        f.put("store.unserved", new Figure(false, "seconds since the state service answered",
                leadership::unservedS));
        f.put("jobs", new Figure(false, "jobs in the holder's memory", scheduler.jobs::size));
        f.put("tasks.waiting", new Figure(false, "tasks without a machine",
                () -> scheduler.jobs.values().stream().mapToInt(Job::waiting).sum()));
        f.put("attempts", new Figure(false, "attempts not proven over",
                () -> scheduler.jobs.values().stream().mapToInt(j -> j.live.size()).sum()));
        f.put("machines", new Figure(false, "machines known", scheduler.machines::size));
        f.put("machines.starting", new Figure(false, "machines rented that have not reported yet",
                () -> scheduler.machines.values().stream().filter(m -> !m.reported()).count()));
        f.put("machines.late", new Figure(false, "of those, later than boots take these days",
                () -> scheduler.machines.values().stream().filter(m -> scheduler.boots.late(m, timers.now())).count()));
        f.put("jobs.mistaken", new Figure(false, "jobs that fail on every machine",
                () -> scheduler.jobs.values().stream().filter(j -> scheduler.failures.mistaken(j, timers.now()))
                        .count()));
        f.put("siblings.silent", new Figure(false, "siblings from which nothing is heard",
                () -> facts.siblings().stream().filter(this::silent).count()));
        f.put("machines.set.aside", new Figure(false, "machines set aside for failing",
                () -> scheduler.machines.values().stream().filter(m -> m.setAside).count()));
        f.put("checkins", new Figure(true, "check-ins received", () -> checkIns));
        f.put("checkins.relayed", new Figure(true, "check-ins relayed to the leader", () -> relayed));
        f.put("attempts.ended", new Figure(true, "attempts proven over", () -> scheduler.ends));
        f.put("attempts.lost", new Figure(true, "attempts lost with machine or session", () -> scheduler.lost));
        f.put("attempts.evicted", new Figure(true, "attempts stopped for work of more right",
                () -> scheduler.givingWay.evictions));
        f.put("direct.commands", new Figure(true, "machines told directly to stop tasks", () -> directCommands));
        f.put("probes", new Figure(true, "machines probed", () -> scheduler.placement.probes));
        f.put("probes.passed", new Figure(true, "probes that passed", () -> scheduler.placement.passed));
        f.put("scans", new Figure(true, "scans of the block", () -> scheduler.placement.scans));
        f.put("attempts.launched", new Figure(true, "launch orders given", () -> scheduler.launches));
        f.put("attempts.launch.delay", new Figure(true, "seconds from placings to their launch orders, added up",
                () -> scheduler.launchDelayS));
        f.put("rounds.time", new Figure(true, "seconds spent in placing and writing down", () -> roundS));
        f.put("store.records", new Figure(true, "records written by the holder", () -> keeper.written));
        f.put("store.rounds", new Figure(true, "transactions written by the holder", () -> keeper.rounds));
        return f;
    }

    // ---- siblings -------------------------------------------------------------------------------

    private void gossip() {
        tell();
        for (String s : facts.siblings()) {
            if (silent(s) ? heard.containsKey(s) && silentSiblings.add(s) : silentSiblings.remove(s)) {
                LOG.info(silent(s) ? "nothing is heard from {} any more{}" : "{} is heard again{}", s,
                        s.equals(leadership.leader()) ? ", which leads" : "");
            }
        }
        timers.after(1, this::gossip);
    }

    private boolean served() {
        return leadership.unservedS() < leadership.lifeS() + 1;
    }

    private void tell() {
        siblings.tell(leadership.leading() ? scheduler.token : leadership.highest(),
                leadership.leading() ? facts.node() : null, served());
    }

    public void told(String by, long token, boolean leads, boolean served) {
        heard.put(by, timers.now());
        (served ? servedSiblings : unservedSiblings).put(by, timers.now());
        (served ? unservedSiblings : servedSiblings).remove(by);
        leadership.outbid(token, leads ? by : null);
    }

    /** Guards against waiting for a silent sibling's answer again and again: views come every second. */
    private boolean silent(String sibling) {
        return timers.now() - heard.getOrDefault(sibling, -1e9) > 2.5;
    }

    /** Who places tasks now, for users' questions. */
    private final class Holder implements Questions.Holder {
        @Override
        public void progress(List<String> jobs, Consumer<List<Progress>> answer) {
            String leader = leadership.leader();
            if (leadership.leading()) {
                answer.accept(Controller.this.progress(jobs));
            } else if (leader == null || leader.equals(facts.node()) || silent(leader)) {
                answer.accept(List.of());
            } else {
                siblings.progress(leader, jobs, answer);
            }
        }

        @Override
        public String silence() {
            String leader = leadership.leader();
            if (leader == null) {
                return "no node leads at the moment";
            }
            if (leadership.leading()) {
                return "this node has just begun to lead and reads the jobs";
            }
            double last = heard.getOrDefault(leader, Double.NaN);
            return "node " + leader + ", which places tasks, does not answer"
                    + (silent(leader) && !Double.isNaN(last)
                            ? " and was last heard " + Math.round(timers.now() - last) + " s ago" : "");
        }
    }

    /** What this node knows of the jobs as their holder; nothing if it does not hold them. */
    public List<Progress> progress(List<String> jobs) {
        return leadership.leading() && keeper.loaded() ? scheduler.progress(jobs, timers.now()) : List.of();
    }

    /** A sibling's word that the store has the job's end, which never changes. */
    public void toldOver(Registry.JobState job) {
        registry.ended(job);
        scheduler.jobOver(job.id());
    }

    /** Whether users are better off here: not if the store serves a sibling and not us. */
    public boolean healthy() {
        if (served()) {
            return true;
        }
        double now = timers.now();
        return servedSiblings.values().stream().noneMatch(t -> now - t < 3);
    }

    // ---- the cloud ------------------------------------------------------------------------------

    private void learnTypes() {
        if (!scheduler.types.isEmpty()) {
            return;
        }
        store.get(Keys.TYPES, (outcome, entry) -> {
            if (outcome == Outcome.OK) {
                List<MachineType> known = new ArrayList<>();
                for (Tree t : Tree.of(entry.value()).children("types")) {
                    known.add(MachineType.fromRecord(t));
                }
                if (scheduler.types.isEmpty()) {
                    known.forEach(t -> scheduler.types.put(t.name(), t));
                }
                typesStored = true;
            } else {
                fetchTypes();
                timers.after(1, this::learnTypes);
            }
        });
    }

    private void fetchTypes() {
        if (!cloudCalls.take(1, timers.now())) {
            return;
        }
        cloud.types((outcome, list) -> {
            if (outcome == Outcome.OK && !list.isEmpty()) {
                scheduler.types.clear();
                list.forEach(t -> scheduler.types.put(t.name(), t));
                typesAt = timers.now();
                if (!typesStored) {
                    typesStored = true;
                    store.commit(new Store.Transaction().put(Keys.TYPES,
                            Map.of("types", list.stream().map(MachineType::toRecord).toList())), c -> {
                        if (c.outcome() != Outcome.OK) {
                            typesStored = false;
                        }
                    });
                }
            }
        });
    }

    private void tendFleet() {
        double now = timers.now();
        if (!listing && now - listedAt > facts.cloud().listLagS() / 2 && cloudCalls.take(1, now)) {
            listing = true;
            long mine = scheduler.token;
            cloud.list((outcome, list) -> {
                listing = false;
                listedAt = timers.now();
                if (outcome == Outcome.OK && leadership.leading() && scheduler.token == mine) {
                    scheduler.listed(list, timers.now());
                }
            });
        }
        if (now - typesAt > 20 * facts.workers().reportS()) {
            typesAt = now;
            fetchTypes();
        }
        if (!keeper.loaded() || !leadership.inTouch() || scheduler.types.isEmpty()
                || listedAt < leadingSince) {
            return;
        }
        if (cloudCalls.available(now) < 1 || releasing && renting) {
            return; // Nothing could be done about a plan now.
        }
        Fleet.Plan plan = fleet.plan(now, timers.wallMs(), leadingSince);
        if (!plan.release().isEmpty() && !releasing && cloudCalls.take(1, now)) {
            release(plan.release().subList(0, Math.min(100, plan.release().size())));
        }
        if (!renting && cloudCalls.available(now) >= 1) {
            Rental next = unsettled.poll();
            if (next == null && !plan.rent().isEmpty()) {
                Map.Entry<Fleet.Kind, Integer> e = plan.rent().entrySet().iterator().next();
                // The lease is ours alone, and the store never gives out its id again: so is the name.
                next = new Rental("r-" + lease + "-" + ++rentals, e.getKey(), Math.min(50, e.getValue()));
            }
            if (next != null && cloudCalls.take(1, now)) {
                rent(next);
            }
        }
    }

    private void release(List<String> machines) {
        releasing = true;
        long mine = scheduler.token;
        cloud.release(machines, outcome -> {
            releasing = false;
            if (outcome == Outcome.OK && leadership.leading() && scheduler.token == mine) {
                machines.forEach(m -> scheduler.machineGone(m, timers.now()));
                soon();
            }
        });
    }

    private void rent(Rental r) {
        renting = true;
        long mine = scheduler.token;
        Fleet.Kind k = r.kind;
        cloud.rent(r.name, k.type(), k.zone(), k.spot(), r.count, (outcome, machines) -> {
            renting = false;
            if (!leadership.leading() || scheduler.token != mine) {
                return; // Whoever leads now finds the machines in the list.
            }
            switch (outcome) {
                case OK -> {
                    LOG.info("rented {} of {} {} in {}{}", machines.size(), r.count, k.type(), k.zone(),
                            k.spot() ? ", spot" : "");
                    machines.forEach(m -> scheduler.rented(m, k.type(), k.zone(), k.spot(), timers.now()));
                    if (machines.size() < r.count) {
                        fleet.refused(k, timers.now());
                    } else {
                        fleet.granted(k);
                    }
                }
                case NO -> fleet.refused(k, timers.now());
                // The same name again, until it is settled.
                default -> unsettled.add(r);
            }
        });
    }
}
