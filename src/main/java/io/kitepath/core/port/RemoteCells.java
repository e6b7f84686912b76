package io.kitepath.core.port;

import io.kitepath.core.model.CellMessage;
import java.util.function.Consumer;

/** The controller nodes of other cells. */
public interface RemoteCells {
    /**
     * Sends a message and receives one response.
     *
     * @param cell the name of the remote cell in the cell directory
     * @param node the node to send the message to; null: any node, a different one each time
     * @param callback receives the response on the event loop, or null if there was none within
     *     about one second; the message may then have arrived, arrive later or be lost
     */
    void ask(String cell, String node, CellMessage message, Consumer<CellMessage> callback);
}
