package org.chivetally.queue.agent;

import java.time.Duration;

/** Waits and pauses of the polls of a minion. */
final class PollIntervals {
    /**
     * Maximum wait of a poll. Only polls report ends, so a lost answer delays all ends by the wait and the timeout.
     * With one poll in eighteen lost, a wait of 400 ms left the minion unobserved for most of the time.
     */
    static final Duration POLL_WAIT = Duration.ofMillis(120);

    /**
     * Pause after a poll that returned at once without new ends, as ends wait to be stored; the log takes about 10 ms
     * for it.
     */
    static final Duration EMPTY_POLL_PAUSE = Duration.ofMillis(20);

    /**
     * Pause after a poll with new ends. A poll costs about as much as a start, and without a pause there is one for
     * each end. The pause is short compared with the 60 ms that callers' objectives allow beyond the work.
     */
    static final Duration PAUSE_AFTER_ENDS = Duration.ofMillis(15);

    /** Pause after an unanswered poll, so that an unavailable minion isn't called in a tight loop. */
    static final Duration POLL_RETRY_PAUSE = Duration.ofMillis(100);

    private PollIntervals() {}

    /**
     * Returns the pause after an answered poll.
     *
     * @param hasNewEnds whether the answer contained new ends
     * @param elapsedNanos time from the poll to its answer, in nanoseconds
     */
    static Duration pauseAfterAnswer(boolean hasNewEnds, long elapsedNanos) {
        if (hasNewEnds) {
            return PAUSE_AFTER_ENDS;
        }
        return elapsedNanos < EMPTY_POLL_PAUSE.toNanos() ? EMPTY_POLL_PAUSE : Duration.ZERO;
    }
}
