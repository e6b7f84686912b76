package io.kitepath.core.cell;

import com.dynatrace.hash4j.hashing.Hashing;
import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.state.StoreKeys;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What this cell's share of one team's quota differs by from the part that the settings give it.
 * Amounts are in thousandths, by resource kind.
 */
final class TeamShare {
    /** Resource kinds, as on the wire and in records. */
    static final int CPUS = 0;

    static final int GPUS = 1;
    static final int RESOURCE_KINDS = 2;

    static final long UNLIMITED = Long.MAX_VALUE;

    /** A grant to another cell that is not known to have been accepted. */
    static final class OutgoingGrant {
        final long number;
        final String toCell;
        final int resourceKind;
        final long amount;
        final RetriedQuery query = new RetriedQuery();

        /** Whether this cell's store has the grant; it must not be sent before. */
        boolean isRecorded;

        OutgoingGrant(long number, String toCell, int resourceKind, long amount) {
            this.number = number;
            this.toCell = toCell;
            this.resourceKind = resourceKind;
            this.amount = amount;
        }
    }

    final String team;

    /** Received less granted. */
    final long[] moved = new long[RESOURCE_KINDS];

    /** Received and being recorded: it must not be used before. */
    final long[] expected = new long[RESOURCE_KINDS];

    /** No more than this is used at the moment, since other cells are to have it. */
    final long[] cap = {UNLIMITED, UNLIMITED};

    final List<OutgoingGrant> outgoing = new ArrayList<>();

    /** Of its record. */
    long revision;

    /** A write of its record is under way. */
    boolean isWriting;

    TeamShare(String team) {
        this.team = team;
    }

    /** Hashed, because a team's name may be longer than a key. */
    String key() {
        return StoreKeys.QUOTA_SHARES + Long.toHexString(Hashing.xxh3_64().hashCharsToLong(team));
    }

    /** The stored form; what is expected is part of it, as it is received by this very write. */
    Map<String, Object> toRecord() {
        List<Object> grants = new ArrayList<>();
        for (OutgoingGrant grant : outgoing) {
            grants.add(
                    List.of(grant.number, grant.toCell, (long) grant.resourceKind, grant.amount));
        }
        Map<String, Object> record = new LinkedHashMap<>();
        record.put("team", team);
        record.put("cpus", moved[CPUS] + expected[CPUS]);
        record.put("gpus", moved[GPUS] + expected[GPUS]);
        record.put("out", grants);
        return record;
    }

    /**
     * Reads what {@link #toRecord} wrote for this team.
     *
     * @throws io.kitepath.core.model.InvalidInputException if a field is missing or malformed
     * @throws ClassCastException if a grant has a field of another type
     * @throws IndexOutOfBoundsException if a grant lacks a field
     */
    void restore(Entry entry, DocumentReader document) {
        revision = entry.revision();
        moved[CPUS] = document.integer("cpus", Long.MIN_VALUE, Long.MAX_VALUE);
        moved[GPUS] = document.integer("gpus", Long.MIN_VALUE, Long.MAX_VALUE);
        for (Object element : document.list("out")) {
            List<?> fields = (List<?>) element;
            OutgoingGrant grant =
                    new OutgoingGrant(
                            ((Number) fields.get(0)).longValue(),
                            (String) fields.get(1),
                            ((Number) fields.get(2)).intValue(),
                            ((Number) fields.get(3)).longValue());
            grant.isRecorded = true;
            outgoing.add(grant);
        }
    }

    /** All of its state but the cap, for a log or a test. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        text.append(toRecord())
                .append(isWriting ? " writing" : "")
                .append(Arrays.toString(expected));
        for (OutgoingGrant grant : outgoing) {
            text.append(' ')
                    .append(grant.number)
                    .append(grant.isRecorded)
                    .append(grant.query.isAwaitingAnswer());
        }
        return text.toString();
    }
}
