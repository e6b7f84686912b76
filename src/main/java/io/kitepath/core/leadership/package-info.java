/**
 * Leader election with fencing tokens, and what a node knows about its peers: which of them are
 * silent, and up to which time all confirmed cancellations are known. The package uses the store's
 * keys and does not depend on jobs or machines. No two nodes ever hold the same fencing token; a
 * peer's silence is a reason to check its state, never a proof that it has stopped.
 */
package io.kitepath.core.leadership;
