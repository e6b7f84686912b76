package io.kitepath.wire;

import static io.kitepath.wire.ProtocolExamples.received;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kitepath.core.model.MachineType;
import java.util.List;
import org.junit.jupiter.api.Test;

class CloudCodecTest {
    @Test
    void machineTypesOfTheProtocolAreDecoded() {
        MachineType type =
                CloudCodec.decodeMachineTypes(
                                received(
                                        """
                {"frames":[{"name":"g8","vcpus":96,"cards":8,"ramGb":768,"localGb":200,"pullGbPerS":1.0,
                  "rate":12.0,"spotPrice":4.5,"readyS":45,"fields":["a","b"]}]}"""))
                        .get(0);
        assertEquals(96, type.cpus());
        assertEquals(4.5, type.spotPricePerHour());
        assertEquals(List.of("a", "b"), type.zones());
    }
}
