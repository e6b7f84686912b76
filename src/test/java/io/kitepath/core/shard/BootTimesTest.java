package io.kitepath.core.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.MachineType;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the estimate of boot times, and which machines count as late. */
class BootTimesTest {
    private static final MachineKind KIND = new MachineKind("m4", "a", false);
    private static final MachineKind OTHER_ZONE = new MachineKind("m4", "b", false);

    private final BootTimes bootTimes =
            new BootTimes(
                    Map.of("m4", new MachineType("m4", 4, 0, 16, 50, 1, 1, 0.5, 40, List.of("a"))));

    private static Machine machine(MachineKind kind) {
        Machine machine = new Machine("i-1", 0);
        machine.recordRental(kind, 0);
        return machine;
    }

    private void recordBoots(double... seconds) {
        for (double bootSeconds : seconds) {
            bootTimes.recordBoot(machine(KIND), bootSeconds);
        }
    }

    @Test
    void nominalTimeIsExpectedUntilEnoughBootsAreKnown() {
        recordBoots(100, 100, 100);
        assertEquals(40, bootTimes.expectedSeconds(KIND));
        recordBoots(100);
        assertEquals(100, bootTimes.expectedSeconds(KIND));
        assertEquals(100, bootTimes.expectedSeconds(OTHER_ZONE), "by the type alone");
        assertEquals(0, bootTimes.expectedSeconds(new MachineKind("unknown", "a", false)));
    }

    @Test
    void expectedTimeIsMedianOfLastBootsAndAtLeastNominal() {
        recordBoots(500, 60, 70, 80, 90);
        assertEquals(80, bootTimes.expectedSeconds(KIND));
        recordBoots(1, 1, 1, 1, 1, 1, 1, 1);
        assertEquals(40, bootTimes.expectedSeconds(KIND));
    }

    @Test
    void bootIsLateThenTimedOutUntilFirstHeartbeat() {
        Machine machine = machine(KIND);
        assertFalse(bootTimes.isBootLate(machine, 60));
        assertTrue(bootTimes.isBootLate(machine, 61));
        assertFalse(bootTimes.isBootTimedOut(machine, 160));
        assertTrue(bootTimes.isBootTimedOut(machine, 161));
        machine.heartbeats().record(1, 1, false, 161, 10);
        assertFalse(bootTimes.isBootLate(machine, 161));
    }
}
