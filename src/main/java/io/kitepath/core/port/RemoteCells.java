package io.kitepath.core.port;

import io.kitepath.core.model.CellMessage;
import java.util.function.Consumer;

/** The controller nodes of other cells. */
public interface RemoteCells {
    /**
     * Sends one message for one answer.
     *
     * @param cell its name in the directory
     * @param node the node to ask; null: any, another one each time
     * @param answer gets null if none came within about a second: then the message may have
     *     arrived, may arrive later, or may be lost; on the event loop
     */
    void ask(String cell, String node, CellMessage message, Consumer<CellMessage> answer);
}
