package io.kitepath.core.cell;

import io.kitepath.core.model.CellMessage;
import java.util.function.Consumer;

/** Asks another cell's holder; null: no answer came. */
interface CellQuery {
    void ask(String cell, CellMessage message, Consumer<CellMessage> answer);
}
