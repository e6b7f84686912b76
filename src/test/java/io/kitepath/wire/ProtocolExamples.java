package io.kitepath.wire;

import io.kitepath.settings.JsonCodec;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** The protocol's examples, which are written as JSON, for the tests of all codecs. */
final class ProtocolExamples {
    /** The example of a submission. */
    static final String SUBMISSION =
            """
            {"nameId":"j-000412","lane":"train","crew":"vision","shape":"group","urgency":"high","sheets":16,
             "vcpus":8.0,"cards":1.0,"ramGb":64.0,"kit":"img-07","sizeGb":6.2,
             "frames":["g8"],"field":null,"oneZone":true,"spread":false,"loaners":true,
             "expectS":240.0,"markEveryS":30.0,"markCostS":4.0,"dueS":900.0}""";

    private ProtocolExamples() {}

    /** As it is written. */
    static Object json(String text) {
        return JsonCodec.parseJson(text.getBytes(StandardCharsets.UTF_8));
    }

    /** As it would arrive. */
    static Object received(String text) {
        return throughBytes(json(text));
    }

    /** Encoded and decoded again. */
    static Object throughBytes(Object document) {
        return MessagePackCodec.decode(MessagePackCodec.encode(document));
    }

    /** The fields of {@link #SUBMISSION}, to be changed. */
    static Map<String, Object> submissionFields() {
        Map<String, Object> fields = new LinkedHashMap<>();
        ((Map<?, ?>) json(SUBMISSION)).forEach((name, value) -> fields.put((String) name, value));
        return fields;
    }
}
