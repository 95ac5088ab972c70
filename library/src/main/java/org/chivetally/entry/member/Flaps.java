package org.chivetally.entry.member;

/** How often connections to one process failed lately, and how long it is held down for that. */
final class Flaps {
    private int count;
    private long lastAt;
    private boolean held;
    private long heldUntil;

    void failed(MembershipSettings settings, long now) {
        if (count > 0 && now - lastAt > settings.flapWindow().toNanos()) {
            count = 0;
        }
        count++;
        lastAt = now;
    }

    /** Begins a hold-down when the process came back after it failed more than once; true when it is held now. */
    boolean cameBack(MembershipSettings settings, long now) {
        if (count < 2 || now - lastAt > settings.flapWindow().toNanos()) {
            return false;
        }
        int shift = Math.min(count - 2, 16);
        long time = settings.shortestHoldDown().toNanos() << shift;
        heldUntil = now + Math.min(time, settings.longestHoldDown().toNanos());
        held = true;
        return true;
    }

    /** Tells, once, that the hold-down is over. */
    boolean release(long now) {
        if (!held || now - heldUntil < 0) {
            return false;
        }
        held = false;
        return true;
    }

    /** Tells whether nothing has to be remembered any more. */
    boolean isOver(MembershipSettings settings, long now) {
        return !held && now - lastAt > settings.flapWindow().toNanos();
    }
}
