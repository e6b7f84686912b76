package io.kitepath.core.leadership;

import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.model.InvalidInputException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The stored record that names the leader. Its fields are checked as they are read: earlier
 * versions wrote fewer of them, and each accessor throws {@link InvalidInputException} if its field
 * is malformed.
 */
record LeaderRecord(DocumentReader document) {
    /** Reads a stored value. */
    static LeaderRecord of(Object value) {
        return new LeaderRecord(DocumentReader.of(value));
    }

    /** The value to store for a leader; its field names are part of the stored form. */
    static Map<String, Object> document(
            String node, long fencingToken, long leaseId, Incarnation incarnation) {
        Map<String, Object> document = new LinkedHashMap<>();
        document.put("node", node);
        document.put("token", fencingToken);
        document.put("lease", leaseId);
        document.put("since", incarnation.startedAtMillis());
        document.put("life", incarnation.processId());
        return document;
    }

    String node() {
        return document.text("node");
    }

    long fencingToken() {
        return document.count("token");
    }

    /** The lease that the record hangs on; empty in records of earlier versions. */
    OptionalLong leaseId() {
        return document.has("lease")
                ? OptionalLong.of(document.count("lease"))
                : OptionalLong.empty();
    }

    /** Whose record it is, as {@code own} sees it. */
    Incarnation.RecordOwner owner(String node, Incarnation own) {
        return own.ownerOf(node, document.numberOr("since", 0, 0), document.textOr("life", ""));
    }
}
