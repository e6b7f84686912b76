package io.kitepath.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import picocli.CommandLine;

/**
 * Guards against rules that break only between real processes, and against a soak that sees none.
 */
class SoakTest {
    private static final long SEED = 57;
    private static final int MACHINES = 40;
    private static final double FAULT_SECONDS = 15;

    @Test
    void noRuleIsBrokenWhileFaultsOverlap() throws Exception {
        assertTrue(new SoakRun(SEED, new SoakRun.Size(3, MACHINES, FAULT_SECONDS)).run());
    }

    @Test
    void faultsFollowFromTheSeedAndEndInTime() {
        List<SoakFault> faults = SoakFault.plan(SEED, 3, FAULT_SECONDS, 8);
        assertEquals(faults, SoakFault.plan(SEED, 3, FAULT_SECONDS, 8));
        assertTrue(faults.size() >= 3);
        for (SoakFault fault : faults) {
            assertTrue(fault.endSeconds() <= FAULT_SECONDS + 1e-9, fault::toString);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"--runs=0", "--nodes=10", "--machines=501", "--for=4", "--for=NaN", "--x"})
    void valuesOutOfRangeAreAUsageError(String option) {
        assertEquals(2, new CommandLine(new SoakCommand()).execute(option));
    }
}
