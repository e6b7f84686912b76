package io.kitepath.core.cell;

import io.kitepath.core.cell.TeamShare.OutgoingGrant;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.shard.QuotaUsage;
import io.kitepath.core.shard.ShardState;
import io.kitepath.core.state.StateLoader;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This cell's shares of all teams' quotas, and what may be used of them. Amounts are in
 * thousandths.
 */
final class TeamShares {
    private static final Logger LOG = LoggerFactory.getLogger(TeamShares.class);
    private static final double UNITS = 1000;

    /** Keeps amounts that floating point has moved by a hair from losing or gaining a unit. */
    private static final double ROUNDING_TOLERANCE = 1e-3;

    private final ShardState shard;
    private final Map<String, TeamShare> byTeam = new HashMap<>();

    TeamShares(ShardState shard) {
        this.shard = shard;
    }

    /** Replaces everything by what the store contains. */
    void restore(StateLoader.LoadedState found) {
        byTeam.clear();
        for (Entry entry : found.cellRecords().quotaShares()) {
            try {
                DocumentReader document = DocumentReader.of(entry.value());
                ofTeam(document.text("team")).restore(entry, document);
            } catch (InvalidInputException
                    | ClassCastException
                    | IndexOutOfBoundsException invalid) {
                LOG.error("record unreadable: key={} reason={}", entry.key(), invalid.getMessage());
            }
        }
    }

    /** The share of that team, as the settings give it at first. */
    TeamShare ofTeam(String team) {
        return byTeam.computeIfAbsent(team, TeamShare::new);
    }

    /** Whether the share is still in use here, and not of a time before the last restore. */
    boolean isCurrent(TeamShare share) {
        return byTeam.get(share.team) == share;
    }

    /** A copy, in no particular but repeatable order. */
    List<TeamShare> all() {
        return new ArrayList<>(byTeam.values());
    }

    void removeCaps() {
        byTeam.values().forEach(share -> Arrays.fill(share.cap, TeamShare.UNLIMITED));
    }

    // ---- amounts --------------------------------------------------------------------------------

    /** In thousandths, rounded up, as what is needed or used has to be. */
    static long thousandthsRoundedUp(double amount) {
        return (long) Math.ceil(amount - ROUNDING_TOLERANCE);
    }

    /** The part that the settings give this cell. */
    static long configuredShare(ClusterSettings.Team team, int resourceKind) {
        double max = resourceKind == TeamShare.CPUS ? team.maxCpus() : team.maxGpus();
        return max <= 0 ? TeamShare.UNLIMITED : (long) Math.floor(max * UNITS + ROUNDING_TOLERANCE);
    }

    /** The cell's share now; unlimited if the team has no quota. */
    long currentShare(ClusterSettings.Team team, int resourceKind) {
        long configured = configuredShare(team, resourceKind);
        TeamShare share = byTeam.get(team.name());
        return configured == TeamShare.UNLIMITED || share == null
                ? configured
                : Math.max(0, configured + share.moved[resourceKind]);
    }

    /** How much of its share the cell may use now, in CPUs or GPUs. */
    double usable(ClusterSettings.Team team, int resourceKind) {
        TeamShare share = byTeam.get(team.name());
        long current = currentShare(team, resourceKind);
        long usable = share == null ? current : Math.min(current, share.cap[resourceKind]);
        return usable == TeamShare.UNLIMITED ? Double.POSITIVE_INFINITY : usable / UNITS;
    }

    /** How much of its share the cell uses now. */
    long used(String team, int resourceKind) {
        QuotaUsage usage = shard.quotaUsage();
        return thousandthsRoundedUp(
                (resourceKind == TeamShare.CPUS ? usage.usedCpus(team) : usage.usedGpus(team))
                        * UNITS);
    }

    /** Granted to that cell and not known to have been accepted. */
    long amountInTransit(String team, int resourceKind, String toCell) {
        TeamShare share = byTeam.get(team);
        return share == null
                ? 0
                : share.outgoing.stream()
                        .filter(grant -> grant.resourceKind == resourceKind)
                        .filter(grant -> grant.toCell.equals(toCell))
                        .mapToLong(grant -> grant.amount)
                        .sum();
    }

    /** How many grants are not known to have been accepted. */
    long grantsInTransit() {
        return byTeam.values().stream().mapToLong(share -> share.outgoing.size()).sum();
    }

    /** The lowest number of a grant that is under way to the cell, or the given one if none is. */
    long lowestOpenNumber(String toCell, long nextNumber) {
        long lowest = nextNumber;
        for (TeamShare share : byTeam.values()) {
            for (OutgoingGrant grant : share.outgoing) {
                if (grant.toCell.equals(toCell)) {
                    lowest = Math.min(lowest, grant.number);
                }
            }
        }
        return lowest;
    }

    @Override
    public String toString() {
        return byTeam.values().stream()
                .sorted(Comparator.comparing((TeamShare share) -> share.team))
                .map(TeamShare::toString)
                .collect(Collectors.joining());
    }
}
