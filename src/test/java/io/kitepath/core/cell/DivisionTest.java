package io.kitepath.core.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.cell.QuotaDivision.QuotaClaim;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Who is to have how much of a limit. */
class DivisionTest {
    private static QuotaClaim claim(
            String cell, long holds, long used, long wants, long head, double since) {
        return new QuotaClaim(cell, holds, used, wants, head, 1, since);
    }

    @Test
    void whatNobodyWantsStays() {
        assertEquals(
                Map.of("a", 10L, "b", 2L),
                QuotaDivision.targets(
                        List.of(claim("a", 10, 3, 0, 0, 0), claim("b", 2, 2, 0, 0, 0))));
    }

    @Test
    void unusedRoomGoesWhereItIsWantedAndNoMore() {
        assertEquals(
                Map.of("a", 6L, "b", 6L),
                QuotaDivision.targets(
                        List.of(claim("a", 10, 3, 0, 0, 0), claim("b", 2, 2, 4, 1, 9))));
    }

    @Test
    void whenAllWantMoreEachGetsAlike() {
        assertEquals(
                Map.of("a", 4L, "b", 4L, "c", 4L),
                QuotaDivision.targets(
                        List.of(
                                claim("a", 12, 0, 50, 1, 1),
                                claim("b", 0, 0, 50, 1, 2),
                                claim("c", 0, 0, 50, 1, 3))));
    }

    @Test
    void theGangThatWaitsLongestGetsAllOfItsOwnBeforeTheNextGetsAnything() {
        Map<String, Long> t =
                QuotaDivision.targets(
                        List.of(
                                claim("a", 4, 0, 6, 6, 3),
                                claim("b", 3, 0, 6, 6, 1),
                                claim("c", 3, 0, 6, 6, 2)));
        assertEquals(Map.of("a", 0L, "b", 6L, "c", 4L), t);
    }

    @Test
    void whateverIsSaidTheTargetsAddUpToWhatIsHeldAndTakeNothingInUse() {
        Random r = new Random(4);
        for (int i = 0; i < 2000; i++) {
            List<QuotaClaim> all = new ArrayList<>();
            int n = 1 + r.nextInt(6);
            for (int k = 0; k < n; k++) {
                long holds = r.nextInt(50);
                all.add(
                        claim(
                                "c" + k,
                                holds,
                                holds == 0 ? 0 : r.nextInt((int) holds + 1),
                                r.nextInt(40),
                                r.nextInt(20),
                                r.nextInt(5)));
            }
            Map<String, Long> t = QuotaDivision.targets(all);
            assertEquals(
                    all.stream().mapToLong(QuotaClaim::share).sum(),
                    t.values().stream().mapToLong(x -> x).sum());
            all.forEach(claim -> assertTrue(t.get(claim.cell()) >= claim.used()));
            List<QuotaClaim> otherwise = new ArrayList<>(all);
            Collections.shuffle(otherwise, r);
            assertEquals(t, QuotaDivision.targets(otherwise), "in whatever order they are heard");
        }
    }
}
