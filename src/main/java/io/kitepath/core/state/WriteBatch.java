package io.kitepath.core.state;

import io.kitepath.core.model.DocumentReader;
import io.kitepath.core.port.Store.Entry;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.shard.Job;
import io.kitepath.core.shard.JobPart;
import io.kitepath.core.state.StateWriter.BatchContributor;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** One transaction of the holder's, and what in memory follows from it once the store has it. */
final class WriteBatch {
    record WrittenPart(JobPart part, int version, boolean removed) {}

    /** What a record says about whether its round was carried out. */
    private enum Evidence {
        CHANGED,
        SAYS_DONE,
        GONE
    }

    /**
     * A record that this round writes and that nobody else does under the same revision of the
     * block.
     *
     * @param revisionBefore its revision before, 0 if there was none
     */
    record Witness(String key, long revisionBefore, Evidence sign) {
        /** Whether the round was carried out; {@code now}: null if there is no such record. */
        boolean showsCommitted(Entry now) {
            return switch (sign) {
                case CHANGED -> now != null && now.revision() != revisionBefore;
                // A user's cancellation may have been written in its place.
                case SAYS_DONE ->
                        now != null && DocumentReader.of(now.value()).text("status").equals("done");
                case GONE -> now == null;
            };
        }
    }

    final Transaction transaction = new Transaction();
    final List<WrittenPart> parts = new ArrayList<>();
    final List<Job> finishing = new ArrayList<>();
    final List<Job> cancelling = new ArrayList<>();
    final Set<JobPart> taken = new HashSet<>();
    final Set<Job> conditioned = new HashSet<>();
    final List<BatchContributor> contributors = new ArrayList<>();
    RecordMigration migration;
    boolean mayHaveExecuted;
    int bytes;

    /** Null if all that it writes may have been written by others. */
    Witness witness() {
        for (WrittenPart written : parts) {
            if (!written.removed) {
                return new Witness(key(written), written.part.revision(), Evidence.CHANGED);
            }
        }
        if (!finishing.isEmpty()) {
            return new Witness(
                    StoreKeys.ENDED_JOBS + finishing.get(0).spec.id(), 0, Evidence.SAYS_DONE);
        }
        // What is gone has no revision, which riders have to be told.
        return parts.isEmpty() || !contributors.isEmpty()
                ? null
                : new Witness(key(parts.get(0)), parts.get(0).part.revision(), Evidence.GONE);
    }

    private static String key(WrittenPart written) {
        return StoreKeys.partKey(written.part.job.spec.id(), written.part.index);
    }
}
