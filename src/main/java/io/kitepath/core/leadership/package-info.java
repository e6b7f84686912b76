/**
 * Who leads, with which token, and what siblings say of themselves. It knows the store's keys and
 * nothing of jobs or machines. It promises that no two nodes ever hold the same token, and takes
 * silence for a reason to look, never for a proof.
 */
package io.kitepath.core.leadership;
