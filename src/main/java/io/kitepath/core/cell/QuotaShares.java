package io.kitepath.core.cell;

import io.kitepath.core.cell.QuotaDivision.QuotaClaim;
import io.kitepath.core.model.CellMessage;
import io.kitepath.core.model.CellMessage.QuotaGrant;
import io.kitepath.core.model.CellMessage.QuotaShare;
import io.kitepath.core.model.CellMessage.Summary;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.shard.QuotaUsage;
import io.kitepath.core.state.StateLoader;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This cell's shares of the teams' quotas. A share is the part that the settings give the cell,
 * plus what it received from other cells, less what it granted them. What it grants is out of its
 * share, in its store, before the other cell hears of it, and in the other's share only once that
 * has recorded it, under a number that can be accepted once ({@link QuotaTransfers}). So all shares
 * and grants under way never add up to more than the quota, whoever crashes, freezes or is cut off,
 * and a cell that can't be reached keeps its own (escrow: P. E. O'Neil, "The escrow transactional
 * method", ACM TODS, 1986). Amounts are in thousandths of a CPU or GPU. docs/quota-shares.md
 * describes the protocol.
 */
final class QuotaShares implements QuotaUsage.QuotaLimits {
    private static final Logger LOG = LoggerFactory.getLogger(QuotaShares.class);

    /** Grants of one team that are under way at most. */
    private static final int MAX_OUTGOING_GRANTS = 8;

    private final CellContext context;
    private final TeamShares shares;
    private final QuotaDemand demand;
    private final QuotaTransfers transfers;
    private List<QuotaShare> summaryRows = List.of();

    QuotaShares(CellContext context) {
        this.context = context;
        this.shares = new TeamShares(context.shard());
        this.demand = new QuotaDemand(context.shard(), shares);
        this.transfers = new QuotaTransfers(context, shares);
    }

    /** Grants made since this node started. */
    long grantsSent() {
        return transfers.grantsSent();
    }

    /** Grants accepted since this node started. */
    long grantsReceived() {
        return transfers.grantsReceived();
    }

    /** How many grants are not known to have been accepted. */
    long grantsInTransit() {
        return shares.grantsInTransit();
    }

    /** Replaces everything by what the store contains. */
    void restore(StateLoader.LoadedState found) {
        shares.restore(found);
        transfers.restore(found);
    }

    @Override
    public double maxCpus(ClusterSettings.Team team) {
        return shares.usable(team, TeamShare.CPUS);
    }

    @Override
    public double maxGpus(ClusterSettings.Team team) {
        return shares.usable(team, TeamShare.GPUS);
    }

    /**
     * What this cell's summary says of its shares.
     *
     * @param freeCpus CPUs that are free on its machines: it wants no more than it can use
     * @param freeGpus the same for GPUs
     */
    List<QuotaShare> summaryRows(double freeCpus, double freeGpus) {
        summaryRows =
                demand.summaryRows(new long[] {(long) (freeCpus * 1000), (long) (freeGpus * 1000)});
        return summaryRows;
    }

    /**
     * Sends grants again that are due.
     *
     * @param now in seconds on the steady clock
     */
    void reconcile(double now) {
        transfers.reconcile(now);
    }

    /** Adds a part of another cell's share to this cell's: {@link QuotaTransfers#onGrant}. */
    void onGrant(QuotaGrant grant, Consumer<CellMessage> reply) {
        transfers.onGrant(grant, reply);
    }

    // ---- division between the cells -------------------------------------------------------------

    /**
     * Divides the quotas anew by what this cell's last summary and those of the others say, and
     * grants what others are to have.
     */
    void rebalance(Collection<Summary> others) {
        Map<String, List<QuotaClaim>> claims = claimsOf(others);
        Map<String, QuotaShare> ownRows = new HashMap<>();
        summaryRows.forEach(share -> ownRows.put(claimKey(share), share));
        shares.removeCaps();
        claims.forEach(
                (key, claimsOfOthers) -> {
                    QuotaShare own = ownRows.get(key);
                    if (own != null && isAnyWanting(claimsOfOthers)) {
                        List<QuotaClaim> all = new ArrayList<>(claimsOfOthers);
                        all.add(claim(context.ownCell(), own, 0));
                        rebalance(own, all);
                    }
                });
    }

    /** By team and resource kind. Grants under way count as held by their receivers. */
    private Map<String, List<QuotaClaim>> claimsOf(Collection<Summary> others) {
        Map<String, List<QuotaClaim>> claims = new HashMap<>();
        for (Summary summary : others) {
            String cell = summary.cell();
            for (QuotaShare share : summary.quotaShares()) {
                long inTransit = shares.amountInTransit(share.team(), share.resourceKind(), cell);
                claims.computeIfAbsent(claimKey(share), key -> new ArrayList<>())
                        .add(claim(cell, share, inTransit));
            }
        }
        return claims;
    }

    private static String claimKey(QuotaShare share) {
        return share.team() + '\0' + share.resourceKind();
    }

    private static QuotaClaim claim(String cell, QuotaShare share, long inTransit) {
        return new QuotaClaim(
                cell,
                share.held() + inTransit,
                share.used(),
                share.wanted(),
                share.nextJobNeed(),
                share.nextTaskNeed(),
                share.nextJobSubmittedMillis());
    }

    private static boolean isAnyWanting(List<QuotaClaim> claims) {
        return claims.stream().anyMatch(claim -> claim.wanted() > 0);
    }

    private void rebalance(QuotaShare own, List<QuotaClaim> claims) {
        Map<String, Long> targets = QuotaDivision.targets(claims);
        TeamShare share = shares.ofTeam(own.team());
        int kind = own.resourceKind();
        // The summary may be a moment old; what is granted must be free now.
        long usedNow = shares.used(own.team(), kind);
        share.cap[kind] = capFor(own, claims, targets);
        long ownUseful =
                claims.stream()
                        .filter(this::isOwn)
                        .mapToLong(claim -> usefulAmount(claim, targets))
                        .sum();
        ClusterSettings.Team team = context.shard().settings().teams().get(own.team());
        long surplus = shares.currentShare(team, kind) - Math.max(ownUseful, usedNow);
        if (surplus <= 0 || share.isWriting || share.outgoing.size() >= MAX_OUTGOING_GRANTS) {
            return;
        }
        neediest(claims, targets)
                .ifPresent(
                        receiver -> {
                            long lack = lack(receiver, targets);
                            grant(own, share, Math.min(surplus, lack), receiver, targets);
                        });
    }

    /** What others are to have is not used here again, so that it becomes free as tasks end. */
    private long capFor(QuotaShare own, List<QuotaClaim> claims, Map<String, Long> targets) {
        long cap = Math.max(Math.min(targets.get(context.ownCell()), own.held()), 0);
        boolean isOtherWanting =
                claims.stream().anyMatch(claim -> !isOwn(claim) && claim.wanted() > 0);
        return isOtherWanting
                ? Math.min(cap, QuotaDivision.maxMinFair(claims).get(context.ownCell()))
                : cap;
    }

    private boolean isOwn(QuotaClaim claim) {
        return claim.cell().equals(context.ownCell());
    }

    /** The other cell that lacks most of its target, the first of several; empty if none lacks. */
    private Optional<QuotaClaim> neediest(List<QuotaClaim> claims, Map<String, Long> targets) {
        QuotaClaim neediest = null;
        for (QuotaClaim claim : claims) {
            long lack = lack(claim, targets);
            if (!isOwn(claim) && lack > 0 && (neediest == null || lack > lack(neediest, targets))) {
                neediest = claim;
            }
        }
        return Optional.ofNullable(neediest);
    }

    private static long lack(QuotaClaim claim, Map<String, Long> targets) {
        return usefulAmount(claim, targets) - claim.share();
    }

    /**
     * What is in use and whole tasks beyond. Without this, shares would move to and fro in parts
     * too small to be of use to any cell.
     */
    private static long usefulAmount(QuotaClaim claim, Map<String, Long> targets) {
        long target = targets.get(claim.cell());
        if (claim.wanted() == 0 || claim.firstTaskNeed() == 0) {
            return target;
        }
        long beyondUse = Math.max(0, target - claim.used());
        return claim.used() + beyondUse / claim.firstTaskNeed() * claim.firstTaskNeed();
    }

    private void grant(
            QuotaShare own,
            TeamShare share,
            long amount,
            QuotaClaim receiver,
            Map<String, Long> targets) {
        long number = transfers.grant(share, own.resourceKind(), amount, receiver.cell());
        LOG.info(
                "quota grant made grant={} toCell={} team={} resource={} amount={}"
                        + " receiverHolds={} receiverTarget={} usedHere={} heldHere={}",
                number,
                receiver.cell(),
                own.team(),
                own.resourceKind() == TeamShare.CPUS ? "cpus" : "gpus",
                amount / 1000.0,
                receiver.share() / 1000.0,
                targets.get(receiver.cell()) / 1000.0,
                own.used() / 1000.0,
                own.held() / 1000.0);
    }

    /** All of its state, for a log or a test. */
    @Override
    public String toString() {
        return shares.toString() + transfers;
    }
}
