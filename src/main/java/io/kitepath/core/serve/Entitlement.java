package io.kitepath.core.serve;

import io.kitepath.core.block.Block;
import io.kitepath.core.lead.Leadership;
import io.kitepath.core.lead.Views;
import io.kitepath.core.model.Facts;
import io.kitepath.core.model.Report;
import io.kitepath.core.state.Keeper;

/** Whether this node may answer workers with its token, and so keep their tasks alive. */
final class Entitlement {
    private final Facts facts;
    private final Block block;
    private final Leadership leadership;
    private final Keeper keeper;
    private final Views views;

    Entitlement(Block block, Leadership leadership, Keeper keeper, Views views) {
        this.facts = block.facts();
        this.block = block;
        this.leadership = leadership;
        this.keeper = keeper;
        this.views = views;
    }

    boolean toAnswer(Report report) {
        return leadership.leading() && report.token() <= block.token() && hearsOfCancellations();
    }

    /**
     * Guards against a holder that is cut off from the store and its siblings but not from workers: jobs may be
     * cancelled behind its back, while its answers keep their tasks alive. It goes on for as long as a cancellation
     * leaves time beyond the workers' lease, and longer only while every sibling says that the store is out for it too.
     */
    private boolean hearsOfCancellations() {
        // One that has not read the jobs yet does not know what was cancelled, also shortly before it began.
        if (keeper.unloadedS() > Math.max(facts.workers().reportS(), marginS() - 2 * leadership.lifeS())) {
            return false;
        }
        return leadership.unservedS() < marginS() || views.allUnserved();
    }

    /** For how long workers may be answered without word of cancellations: their leases still have to run out after. */
    private double marginS() {
        Facts.Workers w = facts.workers();
        // Not longer than a lease of theirs: by then another node leads, which they would have to reach as well.
        return Math.max(w.reportS(), Math.min(w.leaseS(), w.cancelS() - w.leaseS() - 2 * w.reportS() - 1));
    }
}
