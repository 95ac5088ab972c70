package org.chivetally.entry.member;

/**
 * The questions about one suspected member and what other entries answered. Times are nanoseconds.
 *
 * <p>Only answers to the newest question count, and one entry that reaches the member outweighs all that don't: a
 * member cut off from some still serves the others.
 */
final class Suspicion {
    private final long begunAt;
    private long questions;
    private long askedAt;
    private boolean confirmed;
    private boolean refuted;
    private long declaredAt;
    private boolean declared;

    Suspicion(long now) {
        this.begunAt = now;
    }

    /** Tells whether the next question is due. */
    boolean isQuestionDue(MembershipSettings settings, long now) {
        if (questions == 0) {
            return now - begunAt >= settings.firstQuestion().toNanos();
        }
        long longest = settings.questionLimit().toNanos();
        int shift = (int) Math.min(questions - 1, 16);
        return now - askedAt >= Math.min(longest, settings.questionInterval().toNanos() << shift);
    }

    void asked(long now) {
        questions++;
        askedAt = now;
        confirmed = false;
        refuted = false;
    }

    /**
     * Notes an answer.
     *
     * @param elsewhere whether the entry that answers is in another failure domain than this one
     */
    void answered(boolean alive, boolean elsewhere) {
        refuted |= alive;
        confirmed |= !alive && elsewhere;
    }

    /** Tells whether the member may be declared gone by the entry whose turn comes after the given time. */
    boolean isSettled(MembershipSettings settings, long turnNanos, long now) {
        boolean waited = now - begunAt >= settings.goneAfter().toNanos() + turnNanos;
        boolean heard =
                questions > 0 && now - askedAt >= settings.answerPatience().toNanos();
        return waited && heard && confirmed && !refuted;
    }

    /** Tells whether the record is to be written now: once, and again only when it does not come back from the log. */
    boolean declare(MembershipSettings settings, long now) {
        if (declared && now - declaredAt < settings.questionLimit().toNanos()) {
            return false;
        }
        declared = true;
        declaredAt = now;
        return true;
    }
}
