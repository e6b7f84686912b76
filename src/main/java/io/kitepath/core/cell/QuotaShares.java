package io.kitepath.core.cell;

import com.dynatrace.hash4j.hashing.Hashing;
import io.kitepath.core.cell.QuotaDivision.QuotaClaim;
import io.kitepath.core.model.CellMessage;
import io.kitepath.core.model.CellMessage.QuotaGrant;
import io.kitepath.core.model.CellMessage.QuotaGrantAccepted;
import io.kitepath.core.model.CellMessage.QuotaShare;
import io.kitepath.core.model.CellMessage.Summary;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.JobSpec;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.port.Timers;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.QuotaUsage;
import io.kitepath.core.shard.ShardState;
import io.kitepath.core.state.StateLoader;
import io.kitepath.core.state.StateWriter;
import io.kitepath.core.state.StoreKeys;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This cell's shares of the teams' limits. What a cell may use is its part by the cells file and
 * what came to it since, less what it gave; what it gives is out of its share, in its store, before
 * the other hears of it, and in the other's share only once that has written it, under a number
 * that can be taken once. So the shares of all, and what is under way, never add up to more than
 * the limit, whoever crashes, freezes or is cut off, and a cell that nobody hears keeps its own
 * (escrow: P. E. O'Neil, "The escrow transactional method", ACM TODS, 1986). Amounts are in
 * thousandths.
 */
final class QuotaShares implements QuotaUsage.QuotaLimits {
    private static final Logger LOG = LoggerFactory.getLogger(QuotaShares.class);
    private static final int SEQUENCE_BITS = 20;

    /** Resources: CPUs and GPUs. */
    private static final int RESOURCE_KINDS = 2;

    /** Grants of one team that are under way at most. */
    private static final int MAX_OUTGOING_GRANTS = 8;

    /** Teams told of in a summary, those that want most first. */
    private static final int MAX_SHARES_IN_SUMMARY = 64;

    private static final long UNLIMITED = Long.MAX_VALUE;

    /** What was given and is not known to have been taken. */
    private static final class OutgoingGrant {
        final long number;
        final String to;
        final int kind;
        final long amount;
        boolean written;
        boolean asking;
        int unanswered;
        double askedAt = Double.NEGATIVE_INFINITY;

        OutgoingGrant(long number, String to, int kind, long amount) {
            this.number = number;
            this.to = to;
            this.kind = kind;
            this.amount = amount;
        }
    }

    /** One team here. */
    private static final class HeldShare {
        final String team;

        /** What came less what went, by resource. */
        final long[] moved = new long[RESOURCE_KINDS];

        /** What came and is being written: it is not ours before. */
        final long[] expected = new long[RESOURCE_KINDS];

        /** More than this is not used at the moment, as others are to have it. */
        final long[] cap = {UNLIMITED, UNLIMITED};

        final List<OutgoingGrant> outgoing = new ArrayList<>();
        long revision;
        boolean writing;

        HeldShare(String team) {
            this.team = team;
        }

        Map<String, Object> record() {
            List<Object> list = new ArrayList<>();
            for (OutgoingGrant outgoing : outgoing) {
                list.add(
                        List.of(
                                outgoing.number,
                                outgoing.to,
                                (long) outgoing.kind,
                                outgoing.amount));
            }
            Map<String, Object> m = new LinkedHashMap<>();
            m.put("team", team);
            m.put("cpus", moved[0] + expected[0]);
            m.put("gpus", moved[1] + expected[1]);
            m.put("out", list);
            return m;
        }
    }

    private final String ownCell;
    private final ShardState shard;
    private final Consumer<StateWriter.BatchContributor> batchQueue;
    private final Timers timers;
    private final CellQuery cellQuery;
    private final Random random;
    private final Map<String, HeldShare> held = new HashMap<>();
    private final Map<String, SequenceNumbers> numbers = new HashMap<>();

    /** Grants that are being written as taken, by giver and number. */
    private final Map<String, List<Consumer<CellMessage>>> pendingReplies = new HashMap<>();

    private final long[] room = new long[RESOURCE_KINDS];
    private List<QuotaShare> summaryRows = List.of();
    private long sequence;
    private long grantsSent;
    private long grantsReceived;

    QuotaShares(
            String own,
            ShardState shard,
            Consumer<StateWriter.BatchContributor> riding,
            Timers timers,
            CellQuery asking,
            Random random) {
        this.ownCell = own;
        this.shard = shard;
        this.batchQueue = riding;
        this.timers = timers;
        this.cellQuery = asking;
        this.random = random;
    }

    long grantsSent() {
        return grantsSent;
    }

    long grantsReceived() {
        return grantsReceived;
    }

    long amountInTransit() {
        return held.values().stream().mapToLong(h -> h.outgoing.size()).sum();
    }

    /** A team's name may be longer than a key. */
    private static String key(String team) {
        return StoreKeys.QUOTA_SHARES + Long.toHexString(Hashing.xxh3_64().hashCharsToLong(team));
    }

    private HeldShare heldShare(String team) {
        return held.computeIfAbsent(team, HeldShare::new);
    }

    // ---- what a new holder reads ----------------------------------------------------------------

    void restore(StateLoader.LoadedState found) {
        held.clear();
        numbers.clear();
        pendingReplies.clear();
        for (Entry entry : found.cellRecords().voidedNumbers()) {
            String of = entry.key().substring(StoreKeys.VOIDED_NUMBERS.length());
            if (of.startsWith("share/")) {
                numbers.put(
                        of.substring("share/".length()),
                        SequenceNumbers.read(entry.value(), entry.revision()));
            }
        }
        for (Entry entry : found.cellRecords().quotaShares()) {
            try {
                DocumentReader document = DocumentReader.of(entry.value());
                HeldShare h = heldShare(document.text("team"));
                h.revision = entry.revision();
                h.moved[0] = document.integer("cpus", Long.MIN_VALUE, Long.MAX_VALUE);
                h.moved[1] = document.integer("gpus", Long.MIN_VALUE, Long.MAX_VALUE);
                for (Object o : document.list("out")) {
                    List<?> l = (List<?>) o;
                    OutgoingGrant out =
                            new OutgoingGrant(
                                    ((Number) l.get(0)).longValue(),
                                    (String) l.get(1),
                                    ((Number) l.get(2)).intValue(),
                                    ((Number) l.get(3)).longValue());
                    out.written = true;
                    h.outgoing.add(out);
                }
            } catch (InvalidInputException | ClassCastException | IndexOutOfBoundsException bad) {
                LOG.error("record {} is unreadable: {}", entry.key(), bad.getMessage());
            }
        }
    }

    // ---- what may be used -----------------------------------------------------------------------

    private static long configuredShare(ClusterSettings.Team team, int kind) {
        double max = kind == 0 ? team.maxCpus() : team.maxGpus();
        return max <= 0 ? UNLIMITED : (long) Math.floor(max * 1000 + 1e-3);
    }

    /** The cell's share now; unlimited if the team has no limit. */
    private long currentShare(ClusterSettings.Team team, int kind) {
        long part = configuredShare(team, kind);
        HeldShare h = held.get(team.name());
        return part == UNLIMITED || h == null ? part : Math.max(0, part + h.moved[kind]);
    }

    private long mayUse(ClusterSettings.Team team, int kind) {
        HeldShare h = held.get(team.name());
        return h == null
                ? currentShare(team, kind)
                : Math.min(currentShare(team, kind), h.cap[kind]);
    }

    @Override
    public double maxCpus(ClusterSettings.Team team) {
        long may = mayUse(team, 0);
        return may == UNLIMITED ? Double.POSITIVE_INFINITY : may / 1000.0;
    }

    @Override
    public double maxGpus(ClusterSettings.Team team) {
        long may = mayUse(team, 1);
        return may == UNLIMITED ? Double.POSITIVE_INFINITY : may / 1000.0;
    }

    private long used(String team, int kind) {
        QuotaUsage u = shard.quotaUsage();
        return (long) Math.ceil((kind == 0 ? u.usedCpus(team) : u.usedGpus(team)) * 1000 - 1e-3);
    }

    // ---- what is wanted -------------------------------------------------------------------------

    private static long need(JobSpec spec, int kind, int tasks) {
        return (long)
                Math.ceil(
                        (kind == 0 ? spec.cpusPerTask() : spec.gpusPerTask()) * 1000 * tasks
                                - 1e-3);
    }

    /**
     * What this cell says of its shares, for its summary.
     *
     * @param freeCpus CPUs and GPUs that are free on its machines: what it can't use it does not
     *     want
     */
    List<QuotaShare> summaryRows(double freeCpus, double freeGpus) {
        room[0] = (long) (freeCpus * 1000);
        room[1] = (long) (freeGpus * 1000);
        Map<String, QuotaShare> rows = new HashMap<>();
        Map<String, List<Job>> waiting = new HashMap<>();
        for (Job job : shard.jobs().values()) {
            if (job.waitingTasks() > 0) {
                waiting.computeIfAbsent(job.spec.team(), key -> new ArrayList<>()).add(job);
            }
        }
        for (ClusterSettings.Team team : shard.settings().teams().values()) {
            for (int kind = 0; kind < RESOURCE_KINDS; kind++) {
                if (configuredShare(team, kind) != UNLIMITED) {
                    rows.put(
                            team.name() + kind,
                            row(team, kind, waiting.getOrDefault(team.name(), List.of())));
                }
            }
        }
        List<QuotaShare> out = new ArrayList<>(rows.values());
        out.sort(
                Comparator.comparingLong((QuotaShare share) -> -share.wanted())
                        .thenComparing(QuotaShare::team));
        summaryRows =
                out.size() > MAX_SHARES_IN_SUMMARY
                        ? new ArrayList<>(out.subList(0, MAX_SHARES_IN_SUMMARY))
                        : out;
        return summaryRows;
    }

    private QuotaShare row(ClusterSettings.Team team, int kind, List<Job> waiting) {
        long wants = 0;
        Job first = null;
        for (Job job : waiting) {
            wants += need(job.spec, kind, job.waitingTasks());
            boolean older =
                    first == null
                            || job.submittedMillis < first.submittedMillis
                            || job.submittedMillis == first.submittedMillis
                                    && job.spec.id().compareTo(first.spec.id()) < 0;
            if (need(job.spec, kind, 1) > 0 && older) {
                first = job;
            }
        }
        long head =
                first == null
                        ? 0
                        : need(first.spec, kind, first.spec.isGang() ? first.waitingTasks() : 1);
        wants = room[kind] < head ? 0 : Math.min(wants, room[kind]);
        return new QuotaShare(
                team.name(),
                kind,
                currentShare(team, kind),
                used(team.name(), kind),
                wants,
                head,
                first == null ? 0 : need(first.spec, kind, 1),
                first == null ? 0 : first.submittedMillis);
    }

    /** What was given to the cell and is not known to have arrived. */
    private long amountInTransit(String team, int kind, String cell) {
        HeldShare h = held.get(team);
        return h == null
                ? 0
                : h.outgoing.stream()
                        .filter(outgoing -> outgoing.kind == kind && outgoing.to.equals(cell))
                        .mapToLong(outgoing -> outgoing.amount)
                        .sum();
    }

    // ---- giving ---------------------------------------------------------------------------------

    /**
     * Divides what is held anew by what the others said lately and what was told last, and gives
     * what is to go.
     */
    void rebalance(Collection<Summary> others) {
        Map<String, List<QuotaClaim>> claims = new HashMap<>();
        for (Summary summary : others) {
            for (QuotaShare share : summary.quotaShares()) {
                claims.computeIfAbsent(
                                share.team() + '\0' + share.resourceKind(),
                                key -> new ArrayList<>())
                        .add(
                                new QuotaClaim(
                                        summary.cell(),
                                        share.held()
                                                + amountInTransit(
                                                        share.team(),
                                                        share.resourceKind(),
                                                        summary.cell()),
                                        share.used(),
                                        share.wanted(),
                                        share.nextJobNeed(),
                                        share.nextTaskNeed(),
                                        share.nextJobSubmittedMillis()));
            }
        }
        Map<String, QuotaShare> mine = new HashMap<>();
        summaryRows.forEach(share -> mine.put(share.team() + '\0' + share.resourceKind(), share));
        held.values().forEach(h -> Arrays.fill(h.cap, UNLIMITED));
        claims.forEach(
                (key, list) -> {
                    QuotaShare share = mine.get(key);
                    if (share != null && list.stream().anyMatch(claim -> claim.wanted() > 0)) {
                        list.add(
                                new QuotaClaim(
                                        ownCell,
                                        share.held(),
                                        share.used(),
                                        share.wanted(),
                                        share.nextJobNeed(),
                                        share.nextTaskNeed(),
                                        share.nextJobSubmittedMillis()));
                        grant(share, list);
                    }
                });
    }

    private void grant(QuotaShare share, List<QuotaClaim> claims) {
        Map<String, Long> targets = QuotaDivision.targets(claims);
        HeldShare held = heldShare(share.team());
        // What was told may be a moment old; what is given must be free now.
        long usedNow = used(share.team(), share.resourceKind());
        // What others are to have is not used here again, so that it comes free as what runs ends.
        held.cap[share.resourceKind()] = Math.max(Math.min(targets.get(ownCell), share.held()), 0);
        if (claims.stream().anyMatch(c -> !c.cell().equals(ownCell) && c.wanted() > 0)) {
            held.cap[share.resourceKind()] =
                    Math.min(
                            held.cap[share.resourceKind()],
                            QuotaDivision.maxMinFair(claims).get(ownCell));
        }
        long mine =
                claims.stream()
                        .filter(c -> c.cell().equals(ownCell))
                        .mapToLong(c -> usefulAmount(c, targets))
                        .sum();
        long over =
                currentShare(shard.settings().teams().get(share.team()), share.resourceKind())
                        - Math.max(mine, usedNow);
        if (over <= 0 || held.writing || held.outgoing.size() >= MAX_OUTGOING_GRANTS) {
            return;
        }
        QuotaClaim to = null;
        for (QuotaClaim c : claims) {
            long lacks = usefulAmount(c, targets) - c.share();
            if (!c.cell().equals(ownCell)
                    && lacks > 0
                    && (to == null || lacks > usefulAmount(to, targets) - to.share())) {
                to = c;
            }
        }
        if (to == null) {
            return;
        }
        long amount = Math.min(over, usefulAmount(to, targets) - to.share());
        OutgoingGrant outgoing =
                new OutgoingGrant(
                        (shard.fencingToken() << SEQUENCE_BITS) + ++sequence,
                        to.cell(),
                        share.resourceKind(),
                        amount);
        held.moved[share.resourceKind()] -= amount;
        held.outgoing.add(outgoing);
        grantsSent++;
        LOG.info(
                "gives {} {} of team {} to cell {} as {}: it holds {} and is to have {}, here {} of {} are used",
                amount / 1000.0,
                share.resourceKind() == 0 ? "CPUs" : "GPUs",
                share.team(),
                to.cell(),
                outgoing.number,
                to.share() / 1000.0,
                targets.get(to.cell()) / 1000.0,
                share.used() / 1000.0,
                share.held() / 1000.0);
        write(
                held,
                null,
                () -> {
                    outgoing.written = true;
                    sendGrant(held, outgoing, timers.nowSeconds());
                });
    }

    /**
     * What is in use and whole tasks beyond. Guards against shares that swing to and fro in crumbs
     * of no use to any.
     */
    private static long usefulAmount(QuotaClaim claim, Map<String, Long> targets) {
        long target = targets.get(claim.cell());
        return claim.wanted() == 0 || claim.task() == 0
                ? target
                : claim.used() + Math.max(0, target - claim.used()) / claim.task() * claim.task();
    }

    /** Writes the team's record, and with it that a number of another cell's is taken. */
    private void write(HeldShare h, String giver, Runnable then) {
        h.writing = true;
        batchQueue.accept(
                new StateWriter.BatchContributor() {
                    @Override
                    public boolean isStillWanted() {
                        return held.get(h.team) == h;
                    }

                    @Override
                    public void contributeTo(Store.Transaction transaction) {
                        transaction
                                .requireRevision(key(h.team), h.revision)
                                .put(key(h.team), h.record());
                        if (giver != null) {
                            SequenceNumbers numbers = numbers(giver);
                            transaction.requireRevision(
                                    StoreKeys.VOIDED_NUMBERS + "share/" + giver,
                                    numbers.revision());
                            transaction
                                    .writes()
                                    .removeIf(
                                            write ->
                                                    write.key()
                                                            .equals(
                                                                    StoreKeys.VOIDED_NUMBERS
                                                                            + "share/"
                                                                            + giver));
                            transaction.put(
                                    StoreKeys.VOIDED_NUMBERS + "share/" + giver, numbers.record());
                        }
                    }

                    @Override
                    public void onCommitted(long revision) {
                        h.writing = false;
                        h.revision = revision;
                        if (giver != null) {
                            numbers(giver).recorded(revision);
                        }
                        then.run();
                    }
                });
    }

    private SequenceNumbers numbers(String giver) {
        return numbers.computeIfAbsent(giver, key -> new SequenceNumbers());
    }

    /** Nothing below this number is under way to the cell any more. */
    private long floor(String cell) {
        long least = (shard.fencingToken() << SEQUENCE_BITS) + sequence + 1;
        for (HeldShare h : held.values()) {
            for (OutgoingGrant outgoing : h.outgoing) {
                if (outgoing.to.equals(cell)) {
                    least = Math.min(least, outgoing.number);
                }
            }
        }
        return least;
    }

    void reconcile(double now) {
        for (HeldShare h : new ArrayList<>(held.values())) {
            for (OutgoingGrant outgoing : new ArrayList<>(h.outgoing)) {
                if (outgoing.written) {
                    sendGrant(h, outgoing, now);
                }
            }
        }
    }

    private void sendGrant(HeldShare h, OutgoingGrant outgoing, double now) {
        if (outgoing.asking
                || now - outgoing.askedAt
                        < RetryBackoff.delaySeconds(
                                outgoing.unanswered,
                                1,
                                shard.settings().workers().leaseSeconds(),
                                random)) {
            return;
        }
        outgoing.asking = true;
        outgoing.askedAt = now;
        outgoing.unanswered++;
        cellQuery.ask(
                outgoing.to,
                new QuotaGrant(
                        ownCell,
                        outgoing.number,
                        floor(outgoing.to),
                        h.team,
                        outgoing.kind,
                        outgoing.amount),
                answer -> {
                    outgoing.asking = false;
                    if (answer instanceof QuotaGrantAccepted g
                            && g.grantNumber() == outgoing.number
                            && held.get(h.team) == h
                            && !h.writing
                            && h.outgoing.remove(outgoing)) {
                        write(h, null, () -> {});
                    }
                });
    }

    // ---- taking ---------------------------------------------------------------------------------

    /** A share of another cell's becomes ours, once. */
    void onGrant(QuotaGrant g, Consumer<CellMessage> answer) {
        ClusterSettings.Team team = shard.settings().teams().get(g.team());
        SequenceNumbers numbers = numbers(g.fromCell());
        numbers.raiseFloor(g.lowestOpenNumber());
        String id = g.fromCell() + '/' + g.grantNumber();
        if (numbers.isVoid(g.grantNumber())) {
            if (pendingReplies.containsKey(id)) {
                pendingReplies.get(id).add(answer); // Being written; said once it is.
            } else {
                answer.accept(new QuotaGrantAccepted(g.grantNumber()));
            }
            return;
        }
        HeldShare held = heldShare(g.team());
        if (team == null || numbers.isFull() || held.writing) {
            answer.accept(null);
            return;
        }
        numbers.add(g.grantNumber());
        held.expected[g.resourceKind()] = g.amount();
        pendingReplies.put(id, new ArrayList<>(List.of(answer)));
        write(
                held,
                g.fromCell(),
                () -> {
                    grantsReceived++;
                    held.moved[g.resourceKind()] += held.expected[g.resourceKind()];
                    held.expected[g.resourceKind()] = 0;
                    LOG.info(
                            "{} {} of team {} came from cell {} as {}",
                            g.amount() / 1000.0,
                            g.resourceKind() == 0 ? "CPUs" : "GPUs",
                            g.team(),
                            g.fromCell(),
                            g.grantNumber());
                    List<Consumer<CellMessage>> who = pendingReplies.remove(id);
                    if (who != null) {
                        who.forEach(x -> x.accept(new QuotaGrantAccepted(g.grantNumber())));
                    }
                    shard.requestScheduling();
                });
    }

    /** All that it knows and is about, for a log or a test. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        held.values().stream()
                .sorted(Comparator.comparing(h -> h.team))
                .forEach(
                        h -> {
                            text.append(h.record())
                                    .append(h.writing ? " writing" : "")
                                    .append(Arrays.toString(h.expected));
                            h.outgoing.forEach(
                                    outgoing ->
                                            text.append(' ')
                                                    .append(outgoing.number)
                                                    .append(outgoing.written)
                                                    .append(outgoing.asking));
                        });
        return text.append(new TreeMap<>(pendingReplies).keySet())
                .append(new TreeMap<>(numbers))
                .toString();
    }
}
