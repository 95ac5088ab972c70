package org.chivetally.entry.member;

/** How often connections to one process failed lately, and how long it is held down for that. */
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

    /** Begins a hold-down when the process came back after it failed more than once; true when it is held now. */
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

    /** Tells, once, that the hold-down is over. */
    boolean endHoldDownIfExpired(long now) {
        if (!heldDown || now - holdDownEndNanos < 0) {
            return false;
        }
        heldDown = false;
        return true;
    }

    /** Tells whether nothing has to be remembered any more. */
    boolean isExpired(MembershipSettings settings, long now) {
        return !heldDown && now - lastFailureNanos > settings.flapWindow().toNanos();
    }
}
