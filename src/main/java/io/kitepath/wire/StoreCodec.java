package io.kitepath.wire;

import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.InvalidInputException;
import io.kitepath.core.port.Store;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Requests to the state service and its answers, as a controller node writes and reads them. Every
 * method that decodes throws an {@link InvalidInputException} that names the first field that is
 * wrong.
 */
public final class StoreCodec {
    /** Why the state service refuses a write that is attached to a lease which has expired. */
    public static final String NO_SUCH_LEASE = "no such lease";

    private StoreCodec() {}

    /** One entry, the answer to reading its key. */
    public static Store.Entry decodeEntry(Object body) {
        return decodeEntry(DocumentReader.of(body));
    }

    private static Store.Entry decodeEntry(DocumentReader document) {
        return new Store.Entry(
                document.text("path"), document.raw("value"), document.count("stamp"));
    }

    /** The entries on one page of a listing; see {@link SharedCodec#isTruncated}. */
    public static List<Store.Entry> decodeEntries(Object body) {
        List<Store.Entry> entries = new ArrayList<>();
        for (DocumentReader document : DocumentReader.of(body).children("entries")) {
            entries.add(decodeEntry(document));
        }
        return entries;
    }

    /** The store's revision that an answer is about. */
    public static long decodeRevision(Object body) {
        return DocumentReader.of(body).count("epoch");
    }

    /** The id of a lease that was granted. */
    public static long decodeLeaseId(Object body) {
        return DocumentReader.of(body).count("tether");
    }

    /** The request for a lease of that many milliseconds. */
    public static byte[] encodeLeaseDuration(long millis) {
        return MessagePackCodec.encode(Map.of("lifeMs", millis));
    }

    /** The keys whose conditions did not hold, from the answer to a transaction. */
    public static List<String> decodeFailedKeys(Object body) {
        return DocumentReader.of(body).texts("failed");
    }

    /** The changes that a watch reports; a removed key has a null value. */
    public static List<Store.Entry> decodeEvents(Object body) {
        List<Store.Entry> events = new ArrayList<>();
        for (DocumentReader document : DocumentReader.of(body).children("events")) {
            events.add(
                    document.has("remove")
                            ? new Store.Entry(
                                    document.text("remove"), null, document.count("stamp"))
                            : new Store.Entry(
                                    document.text("write"),
                                    document.raw("value"),
                                    document.count("stamp")));
        }
        return events;
    }

    /** The request to execute a transaction. */
    public static byte[] encodeTransaction(Store.Transaction transaction) {
        List<Object> conditions = new ArrayList<>();
        for (Store.Condition condition : transaction.conditions()) {
            conditions.add(conditionFields(condition));
        }
        List<Object> writes = new ArrayList<>();
        for (Store.Write write : transaction.writes()) {
            writes.add(writeFields(write));
        }
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("when", conditions);
        if (!writes.isEmpty()) {
            fields.put("then", writes);
        }
        return MessagePackCodec.encode(fields);
    }

    private static Map<String, Object> conditionFields(Store.Condition condition) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("path", condition.key());
        fields.put("stamp", condition.revision());
        return fields;
    }

    private static Map<String, Object> writeFields(Store.Write write) {
        Map<String, Object> fields = new LinkedHashMap<>();
        if (write.value() == null) {
            fields.put("remove", write.key());
            return fields;
        }
        fields.put("write", write.key());
        fields.put("value", write.value());
        if (write.leaseId() != 0) {
            fields.put("tether", write.leaseId());
        }
        return fields;
    }
}
