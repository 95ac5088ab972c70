package org.chivetally.job;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * A job as submitted by a client.
 *
 * @param service name of the service that runs the tasks
 * @param team name of the submitting team
 * @param deadline maximum time from the submission to the final outcome
 * @param tasks the tasks, from 1 to {@link #MAXIMUM_TASKS}
 */
public record JobSpecification(String service, String team, Duration deadline, List<TaskSpecification> tasks) {
    /** Maximum number of tasks in a job. */
    public static final int MAXIMUM_TASKS = 250;

    /** Copies the tasks; rejects null components and an invalid number of tasks. */
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
