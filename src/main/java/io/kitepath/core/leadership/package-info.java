/**
 * Leader election with fencing tokens, and what a node knows of its peers: which of them are heard,
 * and up to which moment all confirmed cancellations are known. The package knows the store's keys
 * and nothing of jobs or machines. No two nodes ever hold the same fencing token; silence of a peer
 * is a reason to look, never a proof.
 */
package io.kitepath.core.leadership;
