package io.kitepath.core.cell;

import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.state.StoreKeys;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The {@link SequenceNumbers} of all cells that hand something to this one, and their records. */
final class VoidedNumbers {
    private final String keyPrefix;
    private final Map<String, SequenceNumbers> byCell = new HashMap<>();

    /**
     * @param kind what is handed over, between the prefix of all such keys and the cell's name;
     *     empty for loans
     */
    VoidedNumbers(String kind) {
        this.keyPrefix = StoreKeys.VOIDED_NUMBERS + kind;
    }

    /** Replaces everything by the records of this kind among those given. */
    void restore(List<Entry> entries) {
        byCell.clear();
        for (Entry entry : entries) {
            if (entry.key().startsWith(keyPrefix)) {
                byCell.put(
                        entry.key().substring(keyPrefix.length()),
                        SequenceNumbers.fromRecord(entry.value(), entry.revision()));
            }
        }
    }

    /** The numbers of that cell, empty at first. */
    SequenceNumbers of(String cell) {
        return byCell.computeIfAbsent(cell, key -> new SequenceNumbers());
    }

    /** Makes the transaction depend on that cell's record as it is known here. */
    void requireUnchanged(Store.Transaction transaction, String cell) {
        transaction.requireRevision(keyPrefix + cell, of(cell).revision());
    }

    /**
     * Adds the cell's record to a transaction. Several contributors to one batch may write the same
     * record: the last one contains the changes of all of them and replaces the others.
     */
    void contributeTo(Store.Transaction transaction, String cell) {
        String key = keyPrefix + cell;
        requireUnchanged(transaction, cell);
        transaction.writes().removeIf(write -> write.key().equals(key));
        transaction.put(key, of(cell).toRecord());
    }

    /** The store has that cell's record at this revision. */
    void onCommitted(String cell, long revision) {
        of(cell).onCommitted(revision);
    }

    @Override
    public String toString() {
        return new TreeMap<>(byCell).toString();
    }
}
