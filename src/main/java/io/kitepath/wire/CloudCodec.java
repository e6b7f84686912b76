package io.kitepath.wire;

import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.model.MachineType;
import io.kitepath.core.port.Cloud;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Requests to the cloud and its answers, as a controller node writes and reads them. Every method
 * that decodes throws an {@link InvalidInputException} that names the first field that is wrong.
 */
public final class CloudCodec {
    private CloudCodec() {}

    /** The machine types that can be rented, with their prices of now. */
    public static List<MachineType> decodeMachineTypes(Object body) {
        List<MachineType> types = new ArrayList<>();
        for (DocumentReader document : DocumentReader.of(body).children("frames")) {
            types.add(
                    new MachineType(
                            document.text("name"),
                            document.number("vcpus", 0),
                            document.numberOr("cards", 0, 0),
                            document.number("ramGb", 0),
                            document.numberOr("localGb", 0, 0),
                            document.numberOr("pullGbPerS", 0, 0),
                            document.number("rate", 0),
                            document.numberOr("spotPrice", 0, document.number("rate", 0)),
                            document.number("readyS", 0),
                            document.texts("fields")));
        }
        return types;
    }

    /** The request for machines, under a name that makes its repetition idempotent. */
    public static byte[] encodeRental(String name, MachineKind kind, int count) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("hire", name);
        fields.put("frame", kind.machineType());
        fields.put("field", kind.zone());
        fields.put("loaners", kind.spot());
        fields.put("count", (long) count);
        return MessagePackCodec.encode(fields);
    }

    /** Ids of machines: those to release, or those that a rental gave. */
    public static byte[] encodeMachineIds(List<String> machineIds) {
        return MessagePackCodec.encode(Map.of("hosts", machineIds));
    }

    /** What {@link #encodeMachineIds} wrote. */
    public static List<String> decodeMachineIds(Object body) {
        return DocumentReader.of(body).texts("hosts");
    }

    /** One page of the list of rented machines; see {@link SharedCodec#isTruncated}. */
    public static List<Cloud.ListedMachine> decodeListedMachines(Object body) {
        List<Cloud.ListedMachine> machines = new ArrayList<>();
        for (DocumentReader document : DocumentReader.of(body).children("hosts")) {
            machines.add(
                    new Cloud.ListedMachine(
                            document.text("nameId"),
                            document.text("frame"),
                            document.text("field"),
                            document.flag("loaners"),
                            document.text("status"),
                            document.numberOr("heldS", 0, 0)));
        }
        return machines;
    }
}
