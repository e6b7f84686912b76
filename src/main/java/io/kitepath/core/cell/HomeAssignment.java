package io.kitepath.core.cell;

import io.kitepath.core.model.CellDirectory;
import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.port.Timers;
import io.kitepath.core.state.StoreKeys;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Checks that this node's cells file names the homes that the cell's store has recorded. While a
 * file with other homes is rolled out node by node, two nodes would send the same job to different
 * homes, and both homes would accept it. So a node whose homes are not the cell's answers no user
 * until it has the right file; everything else in the file may differ.
 */
final class HomeAssignment {
    private static final Logger LOG = LoggerFactory.getLogger(HomeAssignment.class);

    /** Until the next check after the homes were found to differ. */
    private static final double DISAGREEMENT_RECHECK_SECONDS = 10;

    /** Until the next check after the store gave no answer. */
    private static final double UNANSWERED_RECHECK_SECONDS = 0.5;

    /** Until the check that follows a write of the record. */
    private static final double AFTER_WRITE_RECHECK_SECONDS = 0.1;

    private final CellDirectory cellDirectory;
    private final Store store;
    private final Timers timers;
    private boolean isAgreed;
    private boolean disagreementLogged;

    HomeAssignment(CellDirectory cellDirectory, Store store, Timers timers) {
        this.cellDirectory = cellDirectory;
        this.store = store;
        this.timers = timers;
    }

    /** Whether the homes were found to be the same; false before the first check. */
    boolean isAgreed() {
        return isAgreed;
    }

    /** Reads the record, or writes the first one, again and again until the homes are the same. */
    void check() {
        store.get(StoreKeys.CELLS, this::onRead);
    }

    private void onRead(Outcome outcome, Entry entry) {
        if (outcome == Outcome.REJECTED) {
            write(0); // There is no record yet.
            return;
        }
        if (outcome == Outcome.OK) {
            DocumentReader document = DocumentReader.of(entry.value());
            compare(document.text("homes"));
            if (isAgreed && document.count("version") < cellDirectory.version()) {
                write(entry.revision());
            }
        }
        if (!isAgreed) {
            timers.schedule(
                    outcome == Outcome.OK
                            ? DISAGREEMENT_RECHECK_SECONDS
                            : UNANSWERED_RECHECK_SECONDS,
                    this::check);
        }
    }

    private void compare(String recordedHomes) {
        isAgreed = recordedHomes.equals(cellDirectory.homeCellNames());
        if (!isAgreed && !disagreementLogged) {
            disagreementLogged = true;
            LOG.error(
                    "the cells file names the homes \"{}\", this cell goes by \"{}\": no user is answered here",
                    cellDirectory.homeCellNames(),
                    recordedHomes);
        }
    }

    private void write(long revision) {
        store.commit(
                new Transaction()
                        .requireRevision(StoreKeys.CELLS, revision)
                        .put(
                                StoreKeys.CELLS,
                                Map.of(
                                        "version",
                                        cellDirectory.version(),
                                        "homes",
                                        cellDirectory.homeCellNames())),
                result -> {
                    if (!isAgreed) {
                        timers.schedule(AFTER_WRITE_RECHECK_SECONDS, this::check);
                    }
                });
    }
}
