package org.chivetally.entry.member;

/**
 * The questions about one suspected member and what other entries answered. Times are nanoseconds.
 *
 * <p>Only answers to the newest question count, and one entry that reaches the member outweighs all that don't: a
 * member cut off from some still serves the others.
 */
final class Suspicion {
    private final long startedNanos;
    private long queryCount;
    private long lastQueryNanos;
    private boolean confirmed;
    private boolean refuted;
    private long declaredNanos;
    private boolean declared;

    Suspicion(long now) {
        this.startedNanos = now;
    }

    /** Tells whether the next question is due. */
    boolean isQueryDue(MembershipSettings settings, long now) {
        if (queryCount == 0) {
            return now - startedNanos >= settings.firstQueryDelay().toNanos();
        }
        long longestNanos = settings.longestQueryInterval().toNanos();
        int shift = (int) Math.min(queryCount - 1, 16);
        return now - lastQueryNanos
                >= Math.min(longestNanos, settings.queryInterval().toNanos() << shift);
    }

    void recordQuery(long now) {
        queryCount++;
        lastQueryNanos = now;
        confirmed = false;
        refuted = false;
    }

    /**
     * Notes an answer.
     *
     * @param elsewhere whether the entry that answers is in another failure domain than this one
     */
    void recordAnswer(boolean alive, boolean otherFailureDomain) {
        refuted |= alive;
        confirmed |= !alive && otherFailureDomain;
    }

    /** Tells whether the member may be declared gone by the entry whose turn comes after the given time. */
    boolean mayDeclareGone(MembershipSettings settings, long staggerNanos, long now) {
        boolean suspectedLongEnough =
                now - startedNanos >= settings.minimumSuspicion().toNanos() + staggerNanos;
        boolean answerTimeoutPassed = queryCount > 0
                && now - lastQueryNanos >= settings.answerTimeout().toNanos();
        return suspectedLongEnough && answerTimeoutPassed && confirmed && !refuted;
    }

    /** Tells whether the record is to be written now: once, and again only when it does not come back from the log. */
    boolean beginDeclaration(MembershipSettings settings, long now) {
        if (declared && now - declaredNanos < settings.longestQueryInterval().toNanos()) {
            return false;
        }
        declared = true;
        declaredNanos = now;
        return true;
    }
}
