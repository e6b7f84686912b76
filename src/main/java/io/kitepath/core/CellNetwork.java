package io.kitepath.core;

import io.kitepath.core.model.CellDirectory;
import io.kitepath.core.port.RemoteCells;

/**
 * The cells of the cluster, as seen by a node of one of them.
 *
 * @param directory all cells of the cluster; it identifies the node's own cell
 * @param remoteCells sends messages to remote cells
 */
public record CellNetwork(CellDirectory directory, RemoteCells remoteCells) {}
