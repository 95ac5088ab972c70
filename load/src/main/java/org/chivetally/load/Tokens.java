package org.chivetally.load;

import java.util.Objects;
import java.util.Optional;

/**
 * Idempotency keys and task tokens of one run. They are unique across runs, so that start records of earlier runs can
 * be ignored.
 *
 * @param run name of the run
 */
public record Tokens(String run) {
    private static final char SEPARATOR = '/';

    /** Rejects a null name. */
    public Tokens {
        Objects.requireNonNull(run, "run");
    }

    /**
     * Returns the idempotency key of a submission.
     *
     * @param job index of the submission in the schedule
     */
    public String key(int job) {
        return run + SEPARATOR + job;
    }

    /**
     * Returns the token of a task, which its answer must contain.
     *
     * @param job index of the submission in the schedule
     * @param task index of the task in the submission
     */
    public String token(int job, int task) {
        return key(job) + SEPARATOR + task;
    }

    /** Parses a token of this run. The result is empty for tokens of other runs and for malformed ones. */
    public Optional<TaskIndex> parse(String token) {
        String[] parts = token.split("/", -1);
        if (parts.length != 3 || !parts[0].equals(run)) {
            return Optional.empty();
        }
        try {
            return Optional.of(new TaskIndex(Integer.parseInt(parts[1]), Integer.parseInt(parts[2])));
        } catch (NumberFormatException malformed) {
            return Optional.empty();
        }
    }

    /**
     * Position of a task in the schedule.
     *
     * @param job index of the submission in the schedule
     * @param task index of the task in the submission
     */
    public record TaskIndex(int job, int task) {}
}
