package org.chivetally.standins;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * One start in a minion's own record of starts, from which duplicate starts are detected.
 *
 * @param job name of the job
 * @param task index of the task in its job
 * @param attempt id of the attempt
 * @param startedNanos reading of the machine's monotonic clock at the start, in nanoseconds
 * @param endedNanos reading at the end, in nanoseconds; null while the task runs
 * @param outcome {@code running}, {@code done}, {@code failed}, or {@code silent} when it ended without an answer, or
 *     {@code lost} when the minion's process ended before the task
 * @param token token of the task's payload, by which a caller distinguishes its submissions; null if there is none
 */
public record MinionStart(
        String job,
        int task,
        String attempt,
        long startedNanos,
        Long endedNanos,
        String outcome,
        @JsonInclude(JsonInclude.Include.NON_NULL) String token) {
    static final String RUNNING = "running";
    static final String DONE = "done";
    static final String FAILED = "failed";
    static final String SILENT = "silent";
    static final String LOST = "lost";

    MinionStart asLost() {
        return new MinionStart(job, task, attempt, startedNanos, null, LOST, token);
    }

    MinionStart asEnded(long endNanos, String endOutcome) {
        return new MinionStart(job, task, attempt, startedNanos, endNanos, endOutcome, token);
    }
}
