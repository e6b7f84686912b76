package io.kitepath.core.shard;

/** Whether a job is within its team's guarantee: when this leader first saw it, and now. */
final class GuaranteeStanding {
    private enum Claim {
        UNKNOWN,
        WITHIN,
        BEYOND
    }

    private Claim onArrival = Claim.UNKNOWN;
    private boolean within;

    boolean isClaimKnown() {
        return onArrival != Claim.UNKNOWN;
    }

    void setClaim(boolean fits) {
        onArrival = fits ? Claim.WITHIN : Claim.BEYOND;
    }

    boolean wasWithinOnArrival() {
        return onArrival == Claim.WITHIN;
    }

    boolean isWithin() {
        return within;
    }

    void setWithin(boolean isWithin) {
        within = isWithin;
    }
}
