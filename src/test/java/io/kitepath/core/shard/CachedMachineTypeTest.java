package io.kitepath.core.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.MachineType;
import io.kitepath.simulation.SimulatedCluster;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A machine caches its type, and looks it up again when it may have changed. */
class CachedMachineTypeTest {
    private static final double FIRST_PRICE = 1;
    private static final double LATER_PRICE = 2;

    private static MachineType type(String name, double pricePerHour) {
        return new MachineType(name, 4, 0, 16, 50, 1, pricePerHour, 0.4, 40, List.of("a"));
    }

    private final ShardState shard =
            new ShardState(new SimulatedCluster().settings("k0"), loaded -> {});
    private final Machine machine = shard.getOrAddMachine("i-000000", 0);

    private MachineType typeOfMachine() {
        return machine.resolveType(shard.machineTypes());
    }

    // Guards against machines that have no type, or a type with an old price, because the type was
    // cached.
    @Test
    void cachedTypeIsReplacedWhenOfferedTypesOrMachineTypeChange() {
        assertNull(typeOfMachine());
        machine.recordRental(new MachineKind("m4", "a", false), 0);
        assertNull(typeOfMachine());
        shard.setMachineTypes(List.of(type("m4", FIRST_PRICE), type("m8", FIRST_PRICE)));
        assertEquals(FIRST_PRICE, typeOfMachine().pricePerHour());
        shard.setMachineTypes(List.of(type("m4", LATER_PRICE), type("m8", LATER_PRICE)));
        assertEquals(LATER_PRICE, typeOfMachine().pricePerHour());
        machine.recordRental(new MachineKind("m8", "a", false), 0);
        assertEquals("m8", typeOfMachine().name());
        shard.setMachineTypes(List.of(type("m4", LATER_PRICE)));
        assertNull(typeOfMachine());
    }
}
