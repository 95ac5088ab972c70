package org.chivetally.entry.member;

/**
 * Queries to other entries about one suspected member, and their answers. Times are nanoseconds.
 *
 * <p>Only answers to the latest query count. One entry that reaches the member refutes the suspicion, whatever the
 * others answer: a member that some entries cannot reach still serves the rest.
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

    /** Returns whether the next query is due. */
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
     * Records an answer to the latest query.
     *
     * @param alive whether the answering entry reaches the member
     * @param otherFailureDomain whether the answering entry is in another failure domain than this one
     */
    void recordAnswer(boolean alive, boolean otherFailureDomain) {
        refuted |= alive;
        confirmed |= !alive && otherFailureDomain;
    }

    /**
     * Returns whether this entry may declare the member gone: it has been suspected for long enough, and the answers to
     * the latest query confirm it from another failure domain without any that refutes it.
     *
     * @param staggerNanos additional delay of this entry, in nanoseconds
     */
    boolean mayDeclareGone(MembershipSettings settings, long staggerNanos, long now) {
        boolean suspectedLongEnough =
                now - startedNanos >= settings.minimumSuspicion().toNanos() + staggerNanos;
        boolean answerTimeoutPassed = queryCount > 0
                && now - lastQueryNanos >= settings.answerTimeout().toNanos();
        return suspectedLongEnough && answerTimeoutPassed && confirmed && !refuted;
    }

    /** Returns whether to write the gone record now: once, and again when it was not read back from the log in time. */
    boolean beginDeclaration(MembershipSettings settings, long now) {
        if (declared && now - declaredNanos < settings.longestQueryInterval().toNanos()) {
            return false;
        }
        declared = true;
        declaredNanos = now;
        return true;
    }
}
