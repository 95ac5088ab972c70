package org.chivetally.standins;

import java.util.Objects;
import tools.jackson.databind.JsonNode;

/**
 * One task as a minion receives it.
 *
 * @param job name of the job, from the header {@code Chivetally-Job}
 * @param index index of the task in its job, from {@code Chivetally-Task}
 * @param attempt id of the attempt, from {@code Chivetally-Attempt}
 * @param work payload, which specifies what the task does
 */
record MinionTask(String job, int index, String attempt, Work work) {
    MinionTask {
        Objects.requireNonNull(job, "job");
        Objects.requireNonNull(attempt, "attempt");
        Objects.requireNonNull(work, "work");
    }

    /**
     * The task's payload.
     *
     * @param workMillis duration of the task, in milliseconds
     * @param answer any JSON, returned as the task's answer; null if omitted
     * @param fail whether the task fails at the end of its work time
     * @param token text copied to the record of starts; null if omitted
     */
    record Work(long workMillis, JsonNode answer, boolean fail, String token) {
        Work {
            if (workMillis < 0) {
                throw new IllegalArgumentException("workMillis can't be negative");
            }
        }
    }
}
