package org.chivetally.log;

import java.util.Map;

/**
 * Injected faults of an {@link InMemoryPlatformLog}, which can be changed at run time. All times are in milliseconds.
 *
 * @param down whether every append is refused and every read fails
 * @param appendDelayMillis additional delay before an append takes effect
 * @param readDelayMillis additional delay before a read accesses the stream
 * @param loseNextAnswers number of the next appends that take effect but whose response is lost; counts down
 * @param lostAnswerShare fraction of appends, 0 to 1, that take effect but whose response is lost
 * @param lateWriteMillis delay from the lost response of an append to its effect; a retry may be written before it
 * @param lateDuplicateMillis delay from the effect of an append with a lost response to a duplicate of it; 0 for none
 * @param expireUpTo offsets by stream below which records count as expired
 */
public record LogFaults(
        boolean down,
        long appendDelayMillis,
        long readDelayMillis,
        int loseNextAnswers,
        double lostAnswerShare,
        long lateWriteMillis,
        long lateDuplicateMillis,
        Map<String, Long> expireUpTo) {
    /** No faults. */
    public static final LogFaults NONE = new LogFaults(false, 0, 0, 0, 0, 0, 0, Map.of());

    /** Rejects negative numbers and shares over 1; replaces a missing map by an empty one. */
    public LogFaults {
        if (appendDelayMillis < 0 || readDelayMillis < 0 || lateWriteMillis < 0 || lateDuplicateMillis < 0) {
            throw new IllegalArgumentException("delays can't be negative");
        }
        if (loseNextAnswers < 0) {
            throw new IllegalArgumentException("loseNextAnswers can't be negative");
        }
        if (!(lostAnswerShare >= 0 && lostAnswerShare <= 1)) {
            throw new IllegalArgumentException("lostAnswerShare lies between 0 and 1");
        }
        expireUpTo = expireUpTo == null ? Map.of() : Map.copyOf(expireUpTo);
    }

    /** Returns these faults with the log down or up. */
    public LogFaults withDown(boolean isDown) {
        return new LogFaults(
                isDown,
                appendDelayMillis,
                readDelayMillis,
                loseNextAnswers,
                lostAnswerShare,
                lateWriteMillis,
                lateDuplicateMillis,
                expireUpTo);
    }

    /** Returns these faults with another number of responses to lose. */
    public LogFaults withLoseNextAnswers(int count) {
        return new LogFaults(
                down,
                appendDelayMillis,
                readDelayMillis,
                count,
                lostAnswerShare,
                lateWriteMillis,
                lateDuplicateMillis,
                expireUpTo);
    }

    /** Returns these faults with other delays of appends and reads, in milliseconds. */
    public LogFaults withDelays(long appendMillis, long readMillis) {
        return new LogFaults(
                down,
                appendMillis,
                readMillis,
                loseNextAnswers,
                lostAnswerShare,
                lateWriteMillis,
                lateDuplicateMillis,
                expireUpTo);
    }

    /** Returns these faults with other delays for appends whose response is lost, in milliseconds. */
    public LogFaults withLateEffects(long writeMillis, long duplicateMillis) {
        return new LogFaults(
                down,
                appendDelayMillis,
                readDelayMillis,
                loseNextAnswers,
                lostAnswerShare,
                writeMillis,
                duplicateMillis,
                expireUpTo);
    }

    /** Returns these faults with the records of one stream below an offset expired. */
    public LogFaults withExpiry(String stream, long upTo) {
        return new LogFaults(
                down,
                appendDelayMillis,
                readDelayMillis,
                loseNextAnswers,
                lostAnswerShare,
                lateWriteMillis,
                lateDuplicateMillis,
                Map.of(stream, upTo));
    }
}
