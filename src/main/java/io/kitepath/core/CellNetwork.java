package io.kitepath.core;

import io.kitepath.core.model.CellDirectory;
import io.kitepath.core.port.RemoteCells;

/**
 * The cells that a node's own cell works with.
 *
 * @param directory all cells, with the own one marked
 * @param remoteCells sends messages to the other cells
 */
public record CellNetwork(CellDirectory directory, RemoteCells remoteCells) {}
