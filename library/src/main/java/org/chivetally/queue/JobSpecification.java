package org.chivetally.queue;

import java.util.List;
import java.util.Objects;
import java.util.function.IntPredicate;

/**
 * The immutable description of an accepted job, as stored in the log.
 *
 * @param id 16 hexadecimal digits chosen by the caller; requests with the same id mean the same job
 * @param terms parameters of the job's queue
 * @param payload text passed to every task
 * @param acceptedAtMillis when the job was accepted, in milliseconds since the Unix epoch
 * @param steps steps of the job, at least one
 */
public record JobSpecification(
        String id, QueueTerms terms, String payload, long acceptedAtMillis, List<StepSpecification> steps) {
    /** Greatest number of tasks of a job. An entry's heap holds the tasks of some jobs of this size. */
    public static final int MAXIMUM_TASKS = 100_000;

    /**
     * Requires an id, terms, a payload, from one to {@link #MAXIMUM_TASKS} tasks, and steps that follow only earlier
     * ones, and copies the steps.
     */
    public JobSpecification {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(terms, "terms");
        Objects.requireNonNull(payload, "payload");
        steps = List.copyOf(steps);
        if (steps.isEmpty()) {
            throw new IllegalArgumentException("job " + id + " has no steps");
        }
        for (int position = 0; position < steps.size(); position++) {
            for (int earlier : steps.get(position).after()) {
                Objects.checkIndex(earlier, position);
            }
        }
        if (hasTooManyTasks(steps)) {
            throw new IllegalArgumentException("job " + id + " has more than " + MAXIMUM_TASKS + " tasks");
        }
    }

    /** Returns whether steps have more tasks than a job may have. */
    public static boolean hasTooManyTasks(List<StepSpecification> steps) {
        return taskCount(steps) > MAXIMUM_TASKS;
    }

    private static long taskCount(List<StepSpecification> steps) {
        long count = 0;
        for (StepSpecification step : steps) {
            count += step.count();
        }
        return count;
    }

    /** Returns the number of tasks of all steps. */
    public int taskCount() {
        return (int) taskCount(steps);
    }

    /** Returns the estimated duration of the critical path through the steps, in milliseconds. */
    public long criticalPathMillis() {
        return criticalPathMillis(position -> true);
    }

    /**
     * Returns the estimated duration of the critical path through some of the steps, in milliseconds.
     *
     * @param included whether to include the step at a position; the other steps count as taking no time
     */
    public long criticalPathMillis(IntPredicate included) {
        long[] ends = new long[steps.size()];
        long longest = 0;
        for (int position = 0; position < steps.size(); position++) {
            StepSpecification step = steps.get(position);
            for (int earlier : step.after()) {
                ends[position] = Math.max(ends[position], ends[earlier]);
            }
            ends[position] += included.test(position) ? step.estimatedMillis() : 0;
            longest = Math.max(longest, ends[position]);
        }
        return longest;
    }

    /** Returns the estimated processor time of all tasks, in milliseconds of one core. */
    public long estimatedCoreMillis() {
        long coreMillis = 0;
        for (StepSpecification step : steps) {
            coreMillis += step.count() * step.taskCoreMillis();
        }
        return coreMillis;
    }
}
