/**
 * What is done outside the store, where nobody checks tokens: renting machines and giving them back. Each act is on
 * record before it is asked for, and stays there until its outcome is known and can be seen by whoever comes next.
 * It knows the block and the store's keys, and nothing of plans or calls. It promises that no name of a rental is ever
 * used for two things, and that a machine that was put down as going takes no work from anybody any more.
 */
package io.kitepath.core.duty;
