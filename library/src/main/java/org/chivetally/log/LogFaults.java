package org.chivetally.log;

import java.util.Map;

/**
 * Faults of an {@link InMemoryPlatformLog}, settable while it runs. All times are in milliseconds.
 *
 * @param down whether every append is refused and every read fails
 * @param appendDelayMillis added to the time before an append takes effect
 * @param readDelayMillis added to the time before a read looks at the stream
 * @param loseNextAnswers how many of the next appends take effect but have their answer lost; counts down
 * @param lostAnswerShare share of appends, 0 to 1, that take effect but have their answer lost
 * @param lateWriteMillis how long after its lost answer an append takes effect; a retry may land before it
 * @param lateDuplicateMillis how long after it took effect an append with a lost answer does so again; zero for never
 * @param expireUpTo by stream, the offset below which records are treated as expired
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
    /** No fault at all. */
    public static final LogFaults NONE = new LogFaults(false, 0, 0, 0, 0, 0, 0, Map.of());

    /** Refuses negative numbers and shares over one; a missing map is empty. */
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

    /** Returns these faults with another number of answers still to lose. */
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

    /** Returns these faults with the delays of appends and reads, in milliseconds. */
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

    /** Returns these faults with late effects of appends whose answer is lost, in milliseconds. */
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
