package io.kitepath.core;

import io.kitepath.core.state.CancellationVerifier;

/** Handles what the comparison of the jobs that others wait for shows. */
final class DependencyEvents implements CancellationVerifier.Listener {
    private final NodeComponents node;

    /**
     * @param node the node, which may still be under construction
     */
    DependencyEvents(NodeComponents node) {
        this.node = node;
    }

    @Override
    public void jobClosed(String jobId) {
        node.shard.finishJob(jobId);
        node.stateWriter.readDependencyOutcomes();
        node.requestRound();
    }

    @Override
    public void verificationStarted() {
        node.shard.jobDependencies().onVerificationStarted();
    }

    @Override
    public void cancellationsKnownAsOf(double asOfMillis) {
        node.shard.jobDependencies().onVerified(asOfMillis);
    }
}
