package org.chivetally.load;

import java.util.Objects;
import java.util.Optional;

/**
 * Names of submissions and tasks of one run, unique over runs, so that records of an earlier run are told apart.
 *
 * @param run name of the run
 */
public record Tokens(String run) {
    private static final char SEPARATOR = '/';

    /** Refuses a missing name. */
    public Tokens {
        Objects.requireNonNull(run, "run");
    }

    /** Returns the idempotency key of a submission. */
    public String key(int job) {
        return run + SEPARATOR + job;
    }

    /** Returns the token of a task: what its answer must repeat. */
    public String token(int job, int task) {
        return key(job) + SEPARATOR + task;
    }

    /** Reads a token of this run; empty for one of another run or form. */
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

    /** A task of the schedule: index of its submission and its own index there. */
    public record TaskIndex(int job, int task) {}
}
