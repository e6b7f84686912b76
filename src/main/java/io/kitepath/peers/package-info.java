/**
 * The messages between the controller nodes of a cell, and between the nodes of different cells,
 * over kept connections. Nodes of different versions talk to each other while a new version is
 * rolled out, so the bytes of a message never change; {@link io.kitepath.peers.FieldSerializer}
 * tells how that is ensured.
 */
package io.kitepath.peers;
