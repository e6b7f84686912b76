package io.kitepath.core.cell;

import io.kitepath.core.cell.TeamShare.OutgoingGrant;
import io.kitepath.core.model.CellMessage;
import io.kitepath.core.model.CellMessage.QuotaGrant;
import io.kitepath.core.model.CellMessage.QuotaGrantAccepted;
import io.kitepath.core.model.ClusterSettings;
import io.kitepath.core.port.Store;
import io.kitepath.core.shard.ShardState;
import io.kitepath.core.state.StateLoader;
import io.kitepath.core.state.StateWriter;
import java.util.ArrayList;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Moves parts of shares between cells, each exactly once. A grant is out of the giver's share, in
 * its store, before it is sent, and is sent until the receiver has recorded it; the receiver
 * records the amount and the grant's number in one transaction, and a number that was recorded is
 * only confirmed again. Amounts are in thousandths.
 */
final class QuotaTransfers {
    private static final Logger LOG = LoggerFactory.getLogger(QuotaTransfers.class);
    private static final double FIRST_RETRY_DELAY_SECONDS = 1;

    private final CellContext context;
    private final ShardState shard;
    private final TeamShares shares;
    private final FencedSequence grantNumbers;
    private final VoidedNumbers receivedNumbers = new VoidedNumbers("share/");

    /** Grants that are being recorded as received, by giver and number. */
    private final PendingReplies<String> pendingReplies = new PendingReplies<>();

    private long grantsSent;
    private long grantsReceived;

    QuotaTransfers(CellContext context, TeamShares shares) {
        this.context = context;
        this.shard = context.shard();
        this.shares = shares;
        this.grantNumbers = new FencedSequence(shard);
    }

    long grantsSent() {
        return grantsSent;
    }

    long grantsReceived() {
        return grantsReceived;
    }

    /** Replaces everything but the shares by what the store contains. */
    void restore(StateLoader.LoadedState found) {
        pendingReplies.clear();
        receivedNumbers.restore(found.cellRecords().voidedNumbers());
    }

    // ---- the giver's side -----------------------------------------------------------------------

    /**
     * Takes the amount out of the share, and sends it once that is recorded.
     *
     * @return the number of the grant
     */
    long grant(TeamShare share, int resourceKind, long amount, String toCell) {
        OutgoingGrant grant = new OutgoingGrant(grantNumbers.next(), toCell, resourceKind, amount);
        share.moved[resourceKind] -= amount;
        share.outgoing.add(grant);
        grantsSent++;
        write(
                new WriteShare(
                        share,
                        () -> {
                            grant.isRecorded = true;
                            send(share, grant, context.timers().nowSeconds());
                        }));
        return grant.number;
    }

    /**
     * Sends grants again that are due.
     *
     * @param now in seconds on the steady clock
     */
    void reconcile(double now) {
        for (TeamShare share : shares.all()) {
            for (OutgoingGrant grant : new ArrayList<>(share.outgoing)) {
                if (grant.isRecorded) {
                    send(share, grant, now);
                }
            }
        }
    }

    private void send(TeamShare share, OutgoingGrant grant, double now) {
        if (!grant.query.tryBegin(now, FIRST_RETRY_DELAY_SECONDS, context)) {
            return;
        }
        QuotaGrant message =
                new QuotaGrant(
                        context.ownCell(),
                        grant.number,
                        shares.lowestOpenNumber(grant.toCell, grantNumbers.peekNext()),
                        share.team,
                        grant.resourceKind,
                        grant.amount);
        context.cellQuery()
                .ask(grant.toCell, message, answer -> onSendAnswer(share, grant, answer));
    }

    private void onSendAnswer(TeamShare share, OutgoingGrant grant, CellMessage answer) {
        grant.query.onAnswer();
        if (answer instanceof QuotaGrantAccepted accepted
                && accepted.grantNumber() == grant.number
                && shares.isCurrent(share)
                && !share.isWriting
                && share.outgoing.remove(grant)) {
            write(new WriteShare(share, () -> {}));
        }
    }

    // ---- the receiver's side --------------------------------------------------------------------

    /**
     * Adds a part of another cell's share to this cell's, once.
     *
     * @param reply gets {@link QuotaGrantAccepted} once that is recorded, or null if the grant
     *     should be sent again later
     */
    void onGrant(QuotaGrant grant, Consumer<CellMessage> reply) {
        ClusterSettings.Team team = shard.settings().teams().get(grant.team());
        SequenceNumbers numbers = receivedNumbers.of(grant.fromCell());
        numbers.raiseFloor(grant.lowestOpenNumber());
        String exchange = grant.fromCell() + '/' + grant.grantNumber();
        if (numbers.isVoid(grant.grantNumber())) {
            if (pendingReplies.contains(exchange)) {
                pendingReplies.add(exchange, reply);
            } else {
                reply.accept(new QuotaGrantAccepted(grant.grantNumber()));
            }
            return;
        }
        TeamShare share = shares.ofTeam(grant.team());
        if (team == null || numbers.isFull() || share.isWriting) {
            reply.accept(null);
            return;
        }
        numbers.add(grant.grantNumber());
        share.expected[grant.resourceKind()] = grant.amount();
        pendingReplies.add(exchange, reply);
        write(
                new WriteReceivedShare(
                        share, grant.fromCell(), () -> onReceived(share, grant, exchange)));
    }

    private void onReceived(TeamShare share, QuotaGrant grant, String exchange) {
        int kind = grant.resourceKind();
        grantsReceived++;
        share.moved[kind] += share.expected[kind];
        share.expected[kind] = 0;
        LOG.info(
                "quota grant received grant={} fromCell={} team={} resource={} amount={}",
                grant.grantNumber(),
                grant.fromCell(),
                grant.team(),
                kind == TeamShare.CPUS ? "cpus" : "gpus",
                grant.amount() / 1000.0);
        pendingReplies.complete(exchange, () -> new QuotaGrantAccepted(grant.grantNumber()));
        shard.requestScheduling();
    }

    // ---- writes ---------------------------------------------------------------------------------

    private void write(WriteShare write) {
        write.share.isWriting = true;
        context.batchQueue().accept(write);
    }

    /** Writes the record of a team's share. */
    private class WriteShare implements StateWriter.BatchContributor {
        private final TeamShare share;
        private final Runnable afterCommit;

        WriteShare(TeamShare share, Runnable afterCommit) {
            this.share = share;
            this.afterCommit = afterCommit;
        }

        @Override
        public boolean isStillWanted() {
            return shares.isCurrent(share);
        }

        @Override
        public void contributeTo(Store.Transaction transaction) {
            transaction
                    .requireRevision(share.key(), share.revision)
                    .put(share.key(), share.toRecord());
        }

        @Override
        public void onCommitted(long revision) {
            share.isWriting = false;
            share.revision = revision;
            afterCommit.run();
        }
    }

    /** Writes the record of a share and, in the same transaction, the giver's received numbers. */
    private final class WriteReceivedShare extends WriteShare {
        private final String fromCell;

        WriteReceivedShare(TeamShare share, String fromCell, Runnable afterCommit) {
            super(share, afterCommit);
            this.fromCell = fromCell;
        }

        @Override
        public void contributeTo(Store.Transaction transaction) {
            super.contributeTo(transaction);
            receivedNumbers.contributeTo(transaction, fromCell);
        }

        @Override
        public void onCommitted(long revision) {
            receivedNumbers.onCommitted(fromCell, revision);
            super.onCommitted(revision);
        }
    }

    /** Its state besides the shares, for a log or a test. */
    @Override
    public String toString() {
        return pendingReplies.toString() + receivedNumbers;
    }
}
