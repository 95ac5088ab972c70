package org.chivetally.queue;

import java.util.List;
import java.util.Objects;

/**
 * A step of a job: a group of identical tasks.
 *
 * @param count number of tasks
 * @param room resources that each task requires
 * @param estimatedMillis caller's estimate of the duration of one task, in milliseconds; 0 if there is none
 * @param after positions of the steps that have to be done first; all of them precede this step
 * @param traits further requirements and preferences of the tasks
 */
public record StepSpecification(int count, Room room, int estimatedMillis, List<Integer> after, StepTraits traits) {
    /** Greatest estimated work of one task, so that sums over all tasks of an entry don't overflow. */
    static final long MAXIMUM_TASK_CORE_MILLIS = 1_000_000_000_000L;

    private static final int MILLICORES_PER_CORE = 1_000;

    /** Requires resources, traits and at least one task, and copies the list. */
    public StepSpecification {
        Objects.requireNonNull(room, "room");
        Objects.requireNonNull(traits, "traits");
        after = List.copyOf(after);
        if (count < 1) {
            throw new IllegalArgumentException("a step must have at least one task, but count is " + count);
        }
    }

    /** Returns the estimated work of one task, in milliseconds of one core. */
    public long taskCoreMillis() {
        double coreMillis = (double) room.processorMillis() * estimatedMillis / MILLICORES_PER_CORE;
        return (long) Math.min(coreMillis, MAXIMUM_TASK_CORE_MILLIS);
    }
}
