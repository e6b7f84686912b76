package io.kitepath.core.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.CancellationDigest;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.port.Timers;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.Worlds;
import java.util.List;
import org.junit.jupiter.api.Test;

class KnownCancellationsTest {
    private final SimulatedCluster w = new SimulatedCluster();
    private final Timers timers = Worlds.timers(w);

    private ClusterSettings facts(String node, String... others) {
        w.siblings.clear();
        w.siblings.addAll(List.of(others));
        return w.facts(node);
    }

    private CancellationDigest digest(String by, double sinceS, double untilS, String... jobs) {
        return new CancellationDigest(by, 1000 * sinceS, 1000 * untilS, List.of(jobs));
    }

    @Test
    void nothingIsKnownBeforeTheStoreWasRead() {
        CancellationWatermark k = new CancellationWatermark(facts("k0", "k1"), timers);
        k.word(digest("k1", 0, 100));
        assertTrue(k.ageS() > 1e9);
        k.proven(95_000);
        assertEquals(5, k.ageS(), 1e-6);
    }

    @Test
    void wordsCarryOnOnlyFromWhereTheyBegin() {
        CancellationWatermark k = new CancellationWatermark(facts("k0", "k1", "k2"), timers);
        k.proven(95_000);
        k.word(digest("k1", 94, 99));
        assertEquals(5, k.ageS(), 1e-6, "k2 has not spoken");
        k.word(digest("k2", 96, 99));
        assertEquals(5, k.ageS(), 1e-6, "k2 was started after what is known of it");
        k.word(digest("k2", 90, 99));
        assertEquals(1.01, k.ageS(), 1e-6);
        // Each goes on from its own last word.
        k.word(digest("k1", 98.9, 100));
        k.word(digest("k2", 99.5, 100));
        assertEquals(1.01, k.ageS(), 1e-6);
        // A late copy takes nothing back.
        k.word(digest("k1", 90, 96));
        assertEquals(1.01, k.ageS(), 1e-6);
        // Nor does one of nobody known count.
        k.word(digest("k9", 0, 100));
        k.begin();
        assertTrue(k.ageS() > 1e9);
    }

    /**
     * Clocks may be apart by twice the settings' error; a word that begins less than that before is
     * not proven to.
     */
    @Test
    void clocksThatAreApartCount() {
        CancellationWatermark k = new CancellationWatermark(facts("k0", "k1"), timers);
        k.proven(95_000);
        k.word(digest("k1", 94.995, 100));
        assertEquals(5, k.ageS(), 1e-6);
        k.word(digest("k1", 94.98, 100));
        assertEquals(0.01, k.ageS(), 1e-6);
    }

    @Test
    void aLogVouchesForWhatItStillHas() {
        CancellationLog log = new CancellationLog(facts("k1", "k0"), timers);
        double began = timers.wallMs();
        assertEquals(began, log.digest().sinceMs());
        log.learned("j-0");
        w.run(1);
        for (int i = 1; i <= 1000; i++) {
            log.learned("j-" + i);
            log.learned("j-1");
        }
        assertEquals(1000, log.digest().jobs().size());
        assertEquals(began, log.digest().sinceMs(), "the one that had to go was learned then");
        w.run(1);
        log.learned("j-2000");
        assertEquals(began + 1000, log.digest().sinceMs());
        w.run(31);
        assertEquals(List.of(), log.digest().jobs());
        assertEquals(timers.wallMs() - 30_000, log.digest().sinceMs());
    }

    /**
     * More than can be kept until the store shows it: no word counts any more, rather than one be
     * forgotten.
     */
    @Test
    void withTooManyToldNoWordCounts() {
        CancellationWatermark k = new CancellationWatermark(facts("k0", "k1"), timers);
        k.proven(95_000);
        for (int i = 0; i < 6000; i++) {
            k.told("j-" + i);
        }
        assertEquals(5000, k.told().size());
        k.word(digest("k1", 90, 100));
        assertEquals(5, k.ageS(), 1e-6);
        w.run(1);
        k.proven(100_500);
        assertEquals(0, k.told().size());
        k.word(digest("k1", 90, 101));
        assertEquals(0.01, k.ageS(), 1e-6);
    }
}
