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

/** How a team's quota is divided between cells. */
class QuotaDivisionTest {
    private static QuotaClaim claim(
            String cell,
            long share,
            long used,
            long wanted,
            long firstJobNeed,
            double waitingSinceMillis) {
        return new QuotaClaim(cell, share, used, wanted, firstJobNeed, 1, waitingSinceMillis);
    }

    @Test
    void targetsWithoutDemandAreTheHeldShares() {
        assertEquals(
                Map.of("a", 10L, "b", 2L),
                QuotaDivision.targets(
                        List.of(claim("a", 10, 3, 0, 0, 0), claim("b", 2, 2, 0, 0, 0))));
    }

    @Test
    void targetsWithOneWantingCellMoveOnlyWhatItWants() {
        assertEquals(
                Map.of("a", 6L, "b", 6L),
                QuotaDivision.targets(
                        List.of(claim("a", 10, 3, 0, 0, 0), claim("b", 2, 2, 4, 1, 9))));
    }

    @Test
    void targetsWithEqualExcessDemandAreEqual() {
        assertEquals(
                Map.of("a", 4L, "b", 4L, "c", 4L),
                QuotaDivision.targets(
                        List.of(
                                claim("a", 12, 0, 50, 1, 1),
                                claim("b", 0, 0, 50, 1, 2),
                                claim("c", 0, 0, 50, 1, 3))));
    }

    @Test
    void targetsWithWaitingGangsServeTheLongestWaitingOneWhole() {
        Map<String, Long> targets =
                QuotaDivision.targets(
                        List.of(
                                claim("a", 4, 0, 6, 6, 3),
                                claim("b", 3, 0, 6, 6, 1),
                                claim("c", 3, 0, 6, 6, 2)));
        assertEquals(Map.of("a", 0L, "b", 6L, "c", 4L), targets);
    }

    @Test
    void targetsOfRandomClaimsAddUpToSharesKeepWhatIsInUseAndIgnoreOrder() {
        Random random = new Random(4);
        for (int round = 0; round < 2000; round++) {
            List<QuotaClaim> claims = randomClaims(random);
            Map<String, Long> targets = QuotaDivision.targets(claims);
            assertEquals(
                    claims.stream().mapToLong(QuotaClaim::share).sum(),
                    targets.values().stream().mapToLong(amount -> amount).sum());
            claims.forEach(claim -> assertTrue(targets.get(claim.cell()) >= claim.used()));
            List<QuotaClaim> shuffled = new ArrayList<>(claims);
            Collections.shuffle(shuffled, random);
            assertEquals(
                    targets, QuotaDivision.targets(shuffled), "in whatever order they are heard");
        }
    }

    private static List<QuotaClaim> randomClaims(Random random) {
        List<QuotaClaim> claims = new ArrayList<>();
        int cellCount = 1 + random.nextInt(6);
        for (int cell = 0; cell < cellCount; cell++) {
            long share = random.nextInt(50);
            claims.add(
                    claim(
                            "c" + cell,
                            share,
                            share == 0 ? 0 : random.nextInt((int) share + 1),
                            random.nextInt(40),
                            random.nextInt(20),
                            random.nextInt(5)));
        }
        return claims;
    }
}
