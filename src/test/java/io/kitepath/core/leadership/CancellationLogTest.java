package io.kitepath.core.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kitepath.core.port.Timers;
import io.kitepath.simulation.SimulatedCluster;
import io.kitepath.simulation.SimulatedClusters;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the log's limits: 1000 jobs, kept for 30 s. */
class CancellationLogTest {
    private final SimulatedCluster cluster = new SimulatedCluster();
    private final Timers timers = SimulatedClusters.timers(cluster);

    @Test
    void digestCoversOnlyTimeOfRetainedEntries() {
        cluster.siblings.clear();
        cluster.siblings.add("k0");
        CancellationLog log = new CancellationLog(cluster.settings("k1"), timers);
        double startedAt = timers.wallClockMillis();
        assertEquals(startedAt, log.digest().sinceMillis());
        log.recordCancellation("j-0");
        cluster.run(1);
        for (int i = 1; i <= 1000; i++) {
            log.recordCancellation("j-" + i);
            log.recordCancellation("j-1");
        }
        assertEquals(1000, log.digest().jobIds().size());
        assertEquals(startedAt, log.digest().sinceMillis(), "the removed entry was added then");
        cluster.run(1);
        log.recordCancellation("j-2000");
        assertEquals(startedAt + 1000, log.digest().sinceMillis());
        cluster.run(31);
        assertEquals(List.of(), log.digest().jobIds());
        assertEquals(timers.wallClockMillis() - 30_000, log.digest().sinceMillis());
    }
}
