package org.chivetally.queue;

import java.util.List;
import java.util.Objects;
import java.util.function.IntPredicate;

/**
 * An accepted job, as it is kept in the log.
 *
 * @param id 16 hexadecimal digits that the caller chose; the same id is the same job
 * @param terms terms of its queue
 * @param payload text handed to every task
 * @param acceptedAtMillis when the job was accepted, in milliseconds since 1970
 * @param steps its steps, at least one
 */
public record JobSpecification(
        String id, QueueTerms terms, String payload, long acceptedAtMillis, List<StepSpecification> steps) {
    /** Copies the steps and refuses a job without any. */
    public JobSpecification {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(terms, "terms");
        Objects.requireNonNull(payload, "payload");
        steps = List.copyOf(steps);
        if (steps.isEmpty()) {
            throw new IllegalArgumentException("job " + id + " has no steps");
        }
    }

    /** Returns the number of tasks in all steps. */
    public int taskCount() {
        int count = 0;
        for (StepSpecification step : steps) {
            count += step.count();
        }
        return count;
    }

    /** Returns the estimated milliseconds of the longest chain of steps. */
    public long criticalPathMillis() {
        return criticalPathMillis(position -> true);
    }

    /**
     * Returns the estimated milliseconds of the longest chain of steps.
     *
     * @param counts whether the step at a place counts; the others take no time
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

    /** Returns the processor milliseconds of all tasks, by their estimates. */
    public long estimatedCoreMillis() {
        long coreMillis = 0;
        for (StepSpecification step : steps) {
            coreMillis += step.count() * step.room().processorMillis() * step.estimatedMillis() / 1000;
        }
        return coreMillis;
    }
}
