package io.kitepath.core.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.CancellationDigest;
import io.kitepath.core.port.Timers;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedClusters;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the watermark; the simulated clock starts at 100 s, and clocks may differ by 10 ms. */
class CancellationWatermarkTest {
    private static final double TOLERANCE_SECONDS = 1e-6;

    /** Longer than any finite age: no confirmations are known. */
    private static final double NOTHING_KNOWN_SECONDS = 1e9;

    private final SimulatedCluster cluster = new SimulatedCluster();
    private final Timers timers = SimulatedClusters.timers(cluster);

    private CancellationWatermark watermarkWithPeers(String... peers) {
        cluster.siblings.clear();
        cluster.siblings.addAll(List.of(peers));
        return new CancellationWatermark(cluster.settings("k0"), timers);
    }

    private static CancellationDigest digest(
            String peer, double sinceSeconds, double untilSeconds) {
        return new CancellationDigest(peer, 1000 * sinceSeconds, 1000 * untilSeconds, List.of());
    }

    private static void assertAge(double seconds, CancellationWatermark watermark) {
        assertEquals(seconds, watermark.ageSeconds(), TOLERANCE_SECONDS);
    }

    private static void assertAge(double seconds, CancellationWatermark watermark, String why) {
        assertEquals(seconds, watermark.ageSeconds(), TOLERANCE_SECONDS, why);
    }

    @Test
    void digestBeforeStoreReadDoesNotAdvanceWatermark() {
        CancellationWatermark watermark = watermarkWithPeers("k1");
        watermark.advanceByDigest(digest("k1", 0, 100));
        assertTrue(watermark.ageSeconds() > NOTHING_KNOWN_SECONDS);
        watermark.advanceByStore(95_000);
        assertAge(5, watermark);
    }

    @Test
    void digestAdvancesOnlyIfItBeginsBeforeWatermarkOfItsPeer() {
        CancellationWatermark watermark = watermarkWithPeers("k1", "k2");
        watermark.advanceByStore(95_000);
        watermark.advanceByDigest(digest("k1", 94, 99));
        assertAge(5, watermark, "k2 has sent no digest");
        watermark.advanceByDigest(digest("k2", 96, 99));
        assertAge(5, watermark, "k2 was started after its watermark");
        watermark.advanceByDigest(digest("k2", 90, 99));
        assertAge(1.01, watermark);
        // Each peer's watermark advances from its own last digest only.
        watermark.advanceByDigest(digest("k1", 98.9, 100));
        watermark.advanceByDigest(digest("k2", 99.5, 100));
        assertAge(1.01, watermark);
        // An older digest that arrives late does not move the watermark back.
        watermark.advanceByDigest(digest("k1", 90, 96));
        assertAge(1.01, watermark);
        // A digest of an unknown node is ignored.
        watermark.advanceByDigest(digest("k9", 0, 100));
        watermark.reset();
        assertTrue(watermark.ageSeconds() > NOTHING_KNOWN_SECONDS);
    }

    /**
     * Clocks may differ by twice the configured clock error, so a digest that begins less than that
     * before the watermark may actually begin after it.
     */
    @Test
    void digestWithinClockSkewOfWatermarkDoesNotAdvanceIt() {
        CancellationWatermark watermark = watermarkWithPeers("k1");
        watermark.advanceByStore(95_000);
        watermark.advanceByDigest(digest("k1", 94.995, 100));
        assertAge(5, watermark);
        watermark.advanceByDigest(digest("k1", 94.98, 100));
        assertAge(0.01, watermark);
    }

    /**
     * Guards against a forgotten cancellation: when more cancellations are reported than can be
     * kept until the store shows them, digests are ignored.
     */
    @Test
    void digestIsIgnoredWhenTooManyCancellationsAreUnverified() {
        CancellationWatermark watermark = watermarkWithPeers("k1");
        watermark.advanceByStore(95_000);
        for (int i = 0; i < 6000; i++) {
            watermark.addUnverified("j-" + i);
        }
        assertEquals(5000, watermark.unverifiedCancellations().size());
        watermark.advanceByDigest(digest("k1", 90, 100));
        assertAge(5, watermark);
        cluster.run(1);
        watermark.advanceByStore(100_500);
        assertEquals(0, watermark.unverifiedCancellations().size());
        watermark.advanceByDigest(digest("k1", 90, 101));
        assertAge(0.01, watermark);
    }
}
