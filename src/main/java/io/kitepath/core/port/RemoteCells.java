package io.kitepath.core.port;

import io.kitepath.core.model.CellMessage;
import java.util.function.Consumer;

/** Asks nodes of other cells. */
public interface RemoteCells {
    /**
     * One message, one answer, or null if none came within about a second: then nobody knows
     * whether it arrived, or will later.
     *
     * @param cell its name in the directory
     * @param node the node that is asked; null: any, another one each time
     */
    void ask(String cell, String node, CellMessage message, Consumer<CellMessage> answer);
}
