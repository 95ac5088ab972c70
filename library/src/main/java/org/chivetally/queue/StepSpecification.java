package org.chivetally.queue;

import java.util.List;
import java.util.Objects;

/**
 * A group of equal tasks of a job.
 *
 * @param count number of tasks
 * @param room what each task needs
 * @param estimatedMillis caller's rough estimate of a task's duration in milliseconds; 0 when none was given
 * @param after places of earlier steps that must be done first
 * @param traits what else the tasks ask for
 */
public record StepSpecification(int count, Room room, int estimatedMillis, List<Integer> after, StepTraits traits) {
    /** Copies the list and refuses a step without tasks. */
    public StepSpecification {
        Objects.requireNonNull(room, "room");
        Objects.requireNonNull(traits, "traits");
        after = List.copyOf(after);
        if (count < 1) {
            throw new IllegalArgumentException("a step needs at least one task, not " + count);
        }
    }
}
