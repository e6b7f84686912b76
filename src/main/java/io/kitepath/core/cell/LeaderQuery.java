package io.kitepath.core.cell;

import io.kitepath.core.cell.CellMembership.RemoteCell;
import io.kitepath.core.model.CellMessage;
import io.kitepath.core.model.CellMessage.Redirect;
import io.kitepath.core.port.RemoteCells;
import java.util.function.Consumer;

/**
 * Finds the leader of another cell: asks the node that led last, follows one redirect, and asks any
 * node if the one that led does not answer.
 */
final class LeaderQuery implements CellQuery {
    private final RemoteCells cells;
    private final CellMembership cellMembership;
    private long messagesSent;

    LeaderQuery(RemoteCells cells, CellMembership cellMembership) {
        this.cells = cells;
        this.cellMembership = cellMembership;
    }

    /** Messages sent since this node started, repeated ones included. */
    long messagesSent() {
        return messagesSent;
    }

    @Override
    public void ask(String cell, CellMessage message, Consumer<CellMessage> answer) {
        RemoteCell remote = cellMembership.get(cell);
        if (remote == null) {
            // This node's cells file does not name it: the file is older than another node's.
            answer.accept(null);
            return;
        }
        send(cell, remote.leader(), message, first -> onFirst(remote, message, first, answer));
    }

    private void onFirst(
            RemoteCell remote,
            CellMessage message,
            CellMessage first,
            Consumer<CellMessage> answer) {
        if (first instanceof Redirect redirect
                && redirect.node() != null
                && !redirect.node().equals(remote.leader())) {
            send(remote.name, redirect.node(), message, answer);
        } else if (first == null && remote.leader() != null) {
            send(remote.name, null, message, second -> answer.accept(unlessRedirect(second)));
        } else {
            answer.accept(unlessRedirect(first));
        }
    }

    private void send(String cell, String node, CellMessage message, Consumer<CellMessage> answer) {
        messagesSent++;
        cells.ask(cell, node, message, answer);
    }

    private static CellMessage unlessRedirect(CellMessage answer) {
        return answer instanceof Redirect ? null : answer;
    }
}
