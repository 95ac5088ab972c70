package org.chivetally.coordination;

/**
 * Limits retries to a share of first attempts, plus a few each second. When most attempts fail, retries would otherwise
 * multiply the load just when there is least room for it.
 */
final class RetryBudget {
    /** Shares are counted in thousandths: sums of fractions would miss the whole they add up to. */
    private static final int ONE = 1_000;

    private static final int LARGEST_BALANCE = 100 * ONE;
    private static final double NANOS_PER_SECOND = 1e9;

    private final long share;
    private final double perSecond;
    private long earned;
    private double granted;
    private long grantedAt;
    private boolean begun;

    RetryBudget(double share, double perSecond) {
        this.share = Math.round(share * ONE);
        this.perSecond = perSecond;
        this.granted = perSecond;
    }

    void firstAttempt() {
        earned = Math.min(LARGEST_BALANCE, earned + share);
    }

    /** Takes one retry out of the budget if there is one. */
    boolean take(long now) {
        grant(now);
        if (earned >= ONE) {
            earned -= ONE;
            return true;
        }
        if (granted >= 1) {
            granted--;
            return true;
        }
        return false;
    }

    private void grant(long now) {
        if (begun) {
            granted = Math.min(perSecond, granted + perSecond * (now - grantedAt) / NANOS_PER_SECOND);
        }
        begun = true;
        grantedAt = now;
    }
}
