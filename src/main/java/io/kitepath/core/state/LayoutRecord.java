package io.kitepath.core.state;

import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.shard.ShardState;
import io.kitepath.core.state.StateWriter.BatchContributor;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the record layout once per deployment: the number of tasks per part for jobs whose record
 * does not state it. Guards against a change of the settings, after which a part's key would refer
 * to other tasks and tasks that are already running would be started again.
 */
final class LayoutRecord implements BatchContributor {
    private static final Logger LOG = LoggerFactory.getLogger(LayoutRecord.class);

    private final ShardState shard;

    LayoutRecord(ShardState shard) {
        this.shard = shard;
    }

    @Override
    public boolean isUrgent() {
        return false;
    }

    @Override
    public boolean isStillWanted() {
        return true;
    }

    @Override
    public void contributeTo(Transaction transaction) {
        transaction
                .requireRevision(StoreKeys.LAYOUT, 0)
                .put(StoreKeys.LAYOUT, Map.of("partTasks", (long) shard.tasksPerPart()));
    }

    @Override
    public void onCommitted(long revision) {
        LOG.info("record layout written: tasksPerPart={}", shard.tasksPerPart());
    }
}
