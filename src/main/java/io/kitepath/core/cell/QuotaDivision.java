package io.kitepath.core.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * How a team's limit is divided between the cells that want some of it; a function of what they
 * say, so that cells that have heard the same divide it alike. What is in use stays where it is.
 * Then whoever has waited longest gets what its first task or gang needs, all of it, before the
 * next one gets anything: two gangs that each hold half of what they need would wait for each other
 * for ever. The rest is divided so that the least is as large as can be (max-min fairness), and
 * what nobody wants stays where it is.
 */
final class QuotaDivision {
    /**
     * One cell's claim; amounts in thousandths.
     *
     * @param share its share, used or not
     * @param used what its attempts that are not proven over take
     * @param wanted what its waiting work could use at once beyond that
     * @param firstWaiting what the first of that needs at once
     * @param task what one task of that needs: less is of no use to it
     * @param waitingSince when that was submitted, in milliseconds since 1970
     */
    record QuotaClaim(
            String cell,
            long share,
            long used,
            long wanted,
            long firstWaiting,
            long task,
            double waitingSince) {}

    private QuotaDivision() {}

    /**
     * By cell: what it is to have now. In all exactly what they hold, and none less than it uses.
     */
    static Map<String, Long> targets(List<QuotaClaim> claims) {
        Map<String, Long> fair = maxMinFair(claims);
        Map<String, Long> out = new HashMap<>();
        Map<String, Long> wanted = new HashMap<>();
        long free = 0;
        for (QuotaClaim claim : claims) {
            out.put(claim.cell, claim.used);
            free += Math.max(0, claim.share - claim.used);
            wanted.put(claim.cell, claim.wanted);
        }
        // Guards against a cell that is full of work and has the oldest of it: it would take all
        // that comes free.
        List<QuotaClaim> due = waiting(claims);
        due.removeIf(claim -> claim.used >= fair.get(claim.cell));
        for (QuotaClaim claim : due) {
            long first = Math.min(free, Math.min(claim.firstWaiting, claim.wanted));
            out.merge(claim.cell, first, Long::sum);
            wanted.merge(claim.cell, -first, Long::sum);
            free -= first;
        }
        Map<String, Long> upToFair = new HashMap<>();
        due.forEach(
                claim ->
                        upToFair.put(
                                claim.cell,
                                Math.min(
                                        wanted.get(claim.cell),
                                        fair.get(claim.cell) - out.get(claim.cell))));
        free = equalShares(free, upToFair, out);
        upToFair.forEach((cell, n) -> wanted.merge(cell, -Math.max(0, n), Long::sum));
        free = equalShares(free, wanted, out);
        // What nobody wants stays with those that have it.
        for (QuotaClaim claim :
                claims.stream().sorted(Comparator.comparing(QuotaClaim::cell)).toList()) {
            long over = Math.min(free, Math.max(0, claim.share - out.get(claim.cell)));
            out.merge(claim.cell, over, Long::sum);
            free -= over;
        }
        return out;
    }

    /**
     * By cell: how much it had best use, if nothing of it were in use now. A cell that uses more
     * puts nothing new in the place of what ends, while others want it.
     */
    static Map<String, Long> maxMinFair(List<QuotaClaim> claims) {
        long all = claims.stream().mapToLong(QuotaClaim::share).sum();
        Map<String, Long> out = new HashMap<>();
        Map<String, Long> wanted = new HashMap<>();
        claims.forEach(
                claim -> {
                    out.put(claim.cell, 0L);
                    wanted.put(claim.cell, claim.used + claim.wanted);
                });
        for (QuotaClaim claim : waiting(claims)) {
            long first = Math.min(all, Math.min(claim.firstWaiting, claim.wanted));
            out.merge(claim.cell, first, Long::sum);
            wanted.merge(claim.cell, -first, Long::sum);
            all -= first;
        }
        equalShares(all, wanted, out);
        return out;
    }

    private static List<QuotaClaim> waiting(List<QuotaClaim> claims) {
        List<QuotaClaim> out =
                new ArrayList<>(claims.stream().filter(claim -> claim.wanted > 0).toList());
        out.sort(
                Comparator.comparingDouble(QuotaClaim::waitingSince)
                        .thenComparing(QuotaClaim::cell));
        return out;
    }

    /**
     * Equal parts of what is free, again and again as some have all they want; returns what nobody
     * wants.
     */
    private static long equalShares(long free, Map<String, Long> wanted, Map<String, Long> out) {
        Map<String, Long> left = new TreeMap<>(wanted);
        long rest = free;
        while (rest > 0) {
            left.values().removeIf(n -> n <= 0);
            if (left.isEmpty()) {
                break;
            }
            long part = Math.max(1, rest / left.size());
            for (Map.Entry<String, Long> e : left.entrySet()) {
                long more = Math.min(rest, Math.min(part, e.getValue()));
                out.merge(e.getKey(), more, Long::sum);
                e.setValue(e.getValue() - more);
                rest -= more;
            }
        }
        return rest;
    }
}
