package org.chivetally.queue;

import java.util.Objects;
import java.util.Optional;

/**
 * Unique and permanent identifier of a task.
 *
 * @param jobId id of the job, as chosen by its caller
 * @param occurrence number of the repetition of a scheduled job, from 0; 0 for a job that runs once
 * @param step position of the step in the job, from 0
 * @param index position of the task in its step, from 0
 */
public record TaskKey(String jobId, int occurrence, int step, int index) {
    private static final int HASH_FACTOR = 31;
    private static final int DECIMAL = 10;

    /** Requires a job id and numbers that are not negative. */
    public TaskKey {
        Objects.requireNonNull(jobId, "jobId");
        if (occurrence < 0 || step < 0 || index < 0) {
            throw new IllegalArgumentException("negative number in a task key of job " + jobId);
        }
    }

    /** Parses the format of {@link #toString()}; empty if the text is not a task key. */
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
            // A part is not a number or is negative; the caller decides how to handle a text that is no task key.
            return Optional.empty();
        }
    }

    /**
     * Compares all components, like the default implementation for records, which took a twentieth of an agent's
     * processor time.
     */
    @Override
    public boolean equals(Object other) {
        return other instanceof TaskKey key
                && index == key.index
                && step == key.step
                && occurrence == key.occurrence
                && jobId.equals(key.jobId);
    }

    /** Combines all components; written out for the same reason as {@link #equals}. */
    @Override
    public int hashCode() {
        return HASH_FACTOR * (HASH_FACTOR * (HASH_FACTOR * jobId.hashCode() + occurrence) + step) + index;
    }

    @Override
    public String toString() {
        return jobId + '.' + occurrence + '.' + step + '.' + index;
    }
}
