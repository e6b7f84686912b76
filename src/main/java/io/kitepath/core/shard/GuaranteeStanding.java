package io.kitepath.core.shard;

/** Whether a job is within its team's guarantee: when this leader first saw it, and now. */
final class GuaranteeStanding {
    private enum Claim {
        UNKNOWN,
        WITHIN,
        BEYOND
    }

    private Claim claimOnArrival = Claim.UNKNOWN;
    private boolean isWithinNow;

    boolean isClaimKnown() {
        return claimOnArrival != Claim.UNKNOWN;
    }

    void setClaim(boolean fits) {
        claimOnArrival = fits ? Claim.WITHIN : Claim.BEYOND;
    }

    boolean wasWithinOnArrival() {
        return claimOnArrival == Claim.WITHIN;
    }

    boolean isWithin() {
        return isWithinNow;
    }

    void setWithin(boolean isWithin) {
        isWithinNow = isWithin;
    }
}
