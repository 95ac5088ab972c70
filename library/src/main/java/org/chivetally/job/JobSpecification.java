package org.chivetally.job;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * A job as submitted.
 *
 * @param service name of the service that runs the tasks
 * @param team name of the submitting team
 * @param deadline longest time from submission to the final answer
 * @param tasks at least one task
 */
public record JobSpecification(String service, String team, Duration deadline, List<TaskSpecification> tasks) {
    /** Most tasks that a job may have. */
    public static final int MAXIMUM_TASKS = 250;

    /** Copies the tasks and checks their number. */
    public JobSpecification {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(deadline, "deadline");
        tasks = List.copyOf(tasks);
        if (tasks.isEmpty() || tasks.size() > MAXIMUM_TASKS) {
            throw new IllegalArgumentException("a job has 1 to " + MAXIMUM_TASKS + " tasks, not " + tasks.size());
        }
    }
}
