/**
 * What a cell has to do with other cells: whose home a job has, what the others have room for, what
 * is lent to them and taken from them, and how it comes back. Summaries steer and are never
 * trusted; records decide. It may know the block, its records and what siblings answer, never a
 * socket; without a cells file nothing of it is loaded.
 */
package io.kitepath.core.cell;
