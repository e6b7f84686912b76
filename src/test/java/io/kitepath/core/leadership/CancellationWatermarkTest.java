package io.kitepath.core.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.CancellationDigest;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.port.Timers;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedClusters;
import java.util.List;
import org.junit.jupiter.api.Test;

class CancellationWatermarkTest {
    private final SimulatedCluster cluster = new SimulatedCluster();
    private final Timers timers = SimulatedClusters.timers(cluster);

    private ClusterSettings facts(String node, String... others) {
        cluster.siblings.clear();
        cluster.siblings.addAll(List.of(others));
        return cluster.settings(node);
    }

    private CancellationDigest digest(String by, double sinceS, double untilS, String... jobs) {
        return new CancellationDigest(by, 1000 * sinceS, 1000 * untilS, List.of(jobs));
    }

    @Test
    void nothingIsKnownBeforeTheStoreWasRead() {
        CancellationWatermark watermark = new CancellationWatermark(facts("k0", "k1"), timers);
        watermark.advanceByDigest(digest("k1", 0, 100));
        assertTrue(watermark.ageSeconds() > 1e9);
        watermark.advanceByStore(95_000);
        assertEquals(5, watermark.ageSeconds(), 1e-6);
    }

    @Test
    void wordsCarryOnOnlyFromWhereTheyBegin() {
        CancellationWatermark watermark =
                new CancellationWatermark(facts("k0", "k1", "k2"), timers);
        watermark.advanceByStore(95_000);
        watermark.advanceByDigest(digest("k1", 94, 99));
        assertEquals(5, watermark.ageSeconds(), 1e-6, "k2 has not spoken");
        watermark.advanceByDigest(digest("k2", 96, 99));
        assertEquals(5, watermark.ageSeconds(), 1e-6, "k2 was started after what is known of it");
        watermark.advanceByDigest(digest("k2", 90, 99));
        assertEquals(1.01, watermark.ageSeconds(), 1e-6);
        // Each goes on from its own last word.
        watermark.advanceByDigest(digest("k1", 98.9, 100));
        watermark.advanceByDigest(digest("k2", 99.5, 100));
        assertEquals(1.01, watermark.ageSeconds(), 1e-6);
        // A late copy takes nothing back.
        watermark.advanceByDigest(digest("k1", 90, 96));
        assertEquals(1.01, watermark.ageSeconds(), 1e-6);
        // Nor does one of nobody known count.
        watermark.advanceByDigest(digest("k9", 0, 100));
        watermark.reset();
        assertTrue(watermark.ageSeconds() > 1e9);
    }

    /**
     * Clocks may be apart by twice the settings' error; a word that begins less than that before is
     * not proven to.
     */
    @Test
    void clocksThatAreApartCount() {
        CancellationWatermark watermark = new CancellationWatermark(facts("k0", "k1"), timers);
        watermark.advanceByStore(95_000);
        watermark.advanceByDigest(digest("k1", 94.995, 100));
        assertEquals(5, watermark.ageSeconds(), 1e-6);
        watermark.advanceByDigest(digest("k1", 94.98, 100));
        assertEquals(0.01, watermark.ageSeconds(), 1e-6);
    }

    @Test
    void aLogVouchesForWhatItStillHas() {
        CancellationLog log = new CancellationLog(facts("k1", "k0"), timers);
        double began = timers.wallClockMillis();
        assertEquals(began, log.digest().sinceMillis());
        log.add("j-0");
        cluster.run(1);
        for (int i = 1; i <= 1000; i++) {
            log.add("j-" + i);
            log.add("j-1");
        }
        assertEquals(1000, log.digest().jobIds().size());
        assertEquals(began, log.digest().sinceMillis(), "the one that had to go was learned then");
        cluster.run(1);
        log.add("j-2000");
        assertEquals(began + 1000, log.digest().sinceMillis());
        cluster.run(31);
        assertEquals(List.of(), log.digest().jobIds());
        assertEquals(timers.wallClockMillis() - 30_000, log.digest().sinceMillis());
    }

    /**
     * More than can be kept until the store shows it: no word counts any more, rather than one be
     * forgotten.
     */
    @Test
    void withTooManyToldNoWordCounts() {
        CancellationWatermark watermark = new CancellationWatermark(facts("k0", "k1"), timers);
        watermark.advanceByStore(95_000);
        for (int i = 0; i < 6000; i++) {
            watermark.unprovenCancellations("j-" + i);
        }
        assertEquals(5000, watermark.unprovenCancellations().size());
        watermark.advanceByDigest(digest("k1", 90, 100));
        assertEquals(5, watermark.ageSeconds(), 1e-6);
        cluster.run(1);
        watermark.advanceByStore(100_500);
        assertEquals(0, watermark.unprovenCancellations().size());
        watermark.advanceByDigest(digest("k1", 90, 101));
        assertEquals(0.01, watermark.ageSeconds(), 1e-6);
    }
}
