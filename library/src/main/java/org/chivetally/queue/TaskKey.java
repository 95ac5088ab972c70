package org.chivetally.queue;

import java.util.Objects;
import java.util.Optional;

/**
 * Names one task for good.
 *
 * @param jobId id of the job, as its caller chose it
 * @param occurrence which repetition of a scheduled job, from 0; 0 for a job that runs once
 * @param step place of the step in the job, from 0
 * @param index place of the task in its step, from 0
 */
public record TaskKey(String jobId, int occurrence, int step, int index) {
    private static final int HASH_FACTOR = 31;
    private static final int DECIMAL = 10;

    /** Refuses a missing id and negative places. */
    public TaskKey {
        Objects.requireNonNull(jobId, "jobId");
        if (occurrence < 0 || step < 0 || index < 0) {
            throw new IllegalArgumentException("negative place in task " + jobId);
        }
    }

    /** Reads the form that {@link #toString()} gives; empty when the text names no task. */
    public static Optional<TaskKey> parse(String text) {
        int first = text.indexOf('.');
        int second = text.indexOf('.', first + 1);
        int third = text.indexOf('.', second + 1);
        boolean fourParts = first >= 0 && second > first && third > second && text.indexOf('.', third + 1) < 0;
        if (!fourParts) {
            return Optional.empty();
        }
        try {
            return Optional.of(new TaskKey(
                    text.substring(0, first),
                    Integer.parseInt(text, first + 1, second, DECIMAL),
                    Integer.parseInt(text, second + 1, third, DECIMAL),
                    Integer.parseInt(text, third + 1, text.length(), DECIMAL)));
        } catch (IllegalArgumentException malformed) {
            // Not a number, or a negative one: the caller decides what a name of another kind means.
            return Optional.empty();
        }
    }

    /** As by default, but written out: the default of a record took a twentieth of an agent's processor time. */
    @Override
    public boolean equals(Object other) {
        return other instanceof TaskKey key
                && index == key.index
                && step == key.step
                && occurrence == key.occurrence
                && jobId.equals(key.jobId);
    }

    /** As by default, but written out, for the reason that {@link #equals} has. */
    @Override
    public int hashCode() {
        return HASH_FACTOR * (HASH_FACTOR * (HASH_FACTOR * jobId.hashCode() + occurrence) + step) + index;
    }

    @Override
    public String toString() {
        return jobId + '.' + occurrence + '.' + step + '.' + index;
    }
}
