package io.kitepath.core.cell;

import io.kitepath.core.model.CellMessage;
import java.util.function.Consumer;

/** Sends messages to the leaders of other cells. */
interface CellQuery {
    /**
     * Sends one message for one answer.
     *
     * @param cell the name of the other cell
     * @param answer gets null if none came: the message may have arrived all the same, or may
     *     arrive later; on the event loop
     */
    void ask(String cell, CellMessage message, Consumer<CellMessage> answer);
}
