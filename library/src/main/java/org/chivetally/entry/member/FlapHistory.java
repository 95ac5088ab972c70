package org.chivetally.entry.member;

/**
 * Counts recent connection failures of one process and holds it down while its connections flap. Times are nanoseconds.
 */
final class FlapHistory {
    private int failureCount;
    private long lastFailureNanos;
    private boolean heldDown;
    private long holdDownEndNanos;

    void recordFailure(MembershipSettings settings, long now) {
        if (failureCount > 0 && now - lastFailureNanos > settings.flapWindow().toNanos()) {
            failureCount = 0;
        }
        failureCount++;
        lastFailureNanos = now;
    }

    /** Begins a hold-down when the process reconnects after two or more recent failures; returns whether it did. */
    boolean beginHoldDownIfFlapping(MembershipSettings settings, long now) {
        if (failureCount < 2 || now - lastFailureNanos > settings.flapWindow().toNanos()) {
            return false;
        }
        int shift = Math.min(failureCount - 2, 16);
        long holdDownNanos = settings.shortestHoldDown().toNanos() << shift;
        holdDownEndNanos =
                now + Math.min(holdDownNanos, settings.longestHoldDown().toNanos());
        heldDown = true;
        return true;
    }

    /** Returns true once, when the hold-down has expired. */
    boolean endHoldDownIfExpired(long now) {
        if (!heldDown || now - holdDownEndNanos < 0) {
            return false;
        }
        heldDown = false;
        return true;
    }

    /** Returns whether the history can be discarded. */
    boolean isExpired(MembershipSettings settings, long now) {
        return !heldDown && now - lastFailureNanos > settings.flapWindow().toNanos();
    }
}
