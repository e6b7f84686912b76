package io.kitepath.core.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Divides a team's quota between the cells that want some of it. A pure function of their claims,
 * so that cells with the same information divide it alike. What is in use stays where it is. Then
 * the cell that has waited longest gets what its first task or gang needs, all of it, before the
 * next cell gets anything: two gangs that each held half of what they need would be in deadlock.
 * The rest is divided so that the least share is as large as possible (max-min fairness), and what
 * no cell wants stays where it is.
 */
final class QuotaDivision {
    /**
     * One cell's claim; amounts in thousandths.
     *
     * @param cell its name
     * @param share its share, used or not
     * @param used by its attempts that are not proven over
     * @param wanted what its waiting work could use at once beyond that
     * @param firstJobNeed what the oldest waiting job needs at once: one task, or all of a gang
     * @param firstTaskNeed what one task of that job needs: less is of no use to it
     * @param waitingSinceMillis when that job was submitted, in milliseconds since 1970
     */
    record QuotaClaim(
            String cell,
            long share,
            long used,
            long wanted,
            long firstJobNeed,
            long firstTaskNeed,
            double waitingSinceMillis) {}

    private QuotaDivision() {}

    /**
     * What each cell is to have now: in all exactly what they hold, and for none less than it uses.
     */
    static Map<String, Long> targets(List<QuotaClaim> claims) {
        Map<String, Long> fair = maxMinFair(claims);
        Map<String, Long> targets = new HashMap<>();
        Map<String, Long> wanted = new HashMap<>();
        long free = 0;
        for (QuotaClaim claim : claims) {
            targets.put(claim.cell, claim.used);
            wanted.put(claim.cell, claim.wanted);
            free += Math.max(0, claim.share - claim.used);
        }
        // A cell that uses its fair share comes last, even if it has the oldest waiting work:
        // otherwise it would take all that becomes free.
        List<QuotaClaim> belowFair = waitingLongestFirst(claims);
        belowFair.removeIf(claim -> claim.used >= fair.get(claim.cell));
        free -= grantFirstNeeds(belowFair, free, wanted, targets);
        Map<String, Long> wantedUpToFair = new HashMap<>();
        for (QuotaClaim claim : belowFair) {
            long belowFairBy = fair.get(claim.cell) - targets.get(claim.cell);
            wantedUpToFair.put(claim.cell, Math.min(wanted.get(claim.cell), belowFairBy));
        }
        free = divideEqually(free, wantedUpToFair, targets);
        wantedUpToFair.forEach(
                (cell, amount) -> wanted.merge(cell, -Math.max(0, amount), Long::sum));
        free = divideEqually(free, wanted, targets);
        leaveWithHolders(claims, free, targets);
        return targets;
    }

    /**
     * What each cell would have if nothing were in use. A cell that uses more starts nothing new in
     * place of what ends, while others want it.
     */
    static Map<String, Long> maxMinFair(List<QuotaClaim> claims) {
        Map<String, Long> fair = new HashMap<>();
        Map<String, Long> wanted = new HashMap<>();
        long free = 0;
        for (QuotaClaim claim : claims) {
            fair.put(claim.cell, 0L);
            wanted.put(claim.cell, claim.used + claim.wanted);
            free += claim.share;
        }
        free -= grantFirstNeeds(waitingLongestFirst(claims), free, wanted, fair);
        divideEqually(free, wanted, fair);
        return fair;
    }

    private static List<QuotaClaim> waitingLongestFirst(List<QuotaClaim> claims) {
        List<QuotaClaim> waiting =
                new ArrayList<>(claims.stream().filter(claim -> claim.wanted > 0).toList());
        waiting.sort(
                Comparator.comparingDouble(QuotaClaim::waitingSinceMillis)
                        .thenComparing(QuotaClaim::cell));
        return waiting;
    }

    /** Gives each in turn what its first job needs; returns how much that was in all. */
    private static long grantFirstNeeds(
            List<QuotaClaim> claims,
            long free,
            Map<String, Long> wanted,
            Map<String, Long> amounts) {
        long granted = 0;
        for (QuotaClaim claim : claims) {
            long amount = Math.min(free - granted, Math.min(claim.firstJobNeed, claim.wanted));
            amounts.merge(claim.cell, amount, Long::sum);
            wanted.merge(claim.cell, -amount, Long::sum);
            granted += amount;
        }
        return granted;
    }

    /**
     * Gives all that want some equal parts of what is free, again and again as some have all they
     * want; returns what no cell wants.
     */
    private static long divideEqually(
            long free, Map<String, Long> wanted, Map<String, Long> amounts) {
        Map<String, Long> unmet = new TreeMap<>(wanted);
        long rest = free;
        while (rest > 0) {
            unmet.values().removeIf(amount -> amount <= 0);
            if (unmet.isEmpty()) {
                break;
            }
            long part = Math.max(1, rest / unmet.size());
            for (Map.Entry<String, Long> entry : unmet.entrySet()) {
                long amount = Math.min(rest, Math.min(part, entry.getValue()));
                amounts.merge(entry.getKey(), amount, Long::sum);
                entry.setValue(entry.getValue() - amount);
                rest -= amount;
            }
        }
        return rest;
    }

    /** What no cell wants stays with those that hold it. */
    private static void leaveWithHolders(
            List<QuotaClaim> claims, long free, Map<String, Long> amounts) {
        long rest = free;
        for (QuotaClaim claim :
                claims.stream().sorted(Comparator.comparing(QuotaClaim::cell)).toList()) {
            long unused = Math.max(0, claim.share - amounts.get(claim.cell));
            long amount = Math.min(rest, unused);
            amounts.merge(claim.cell, amount, Long::sum);
            rest -= amount;
        }
    }
}
