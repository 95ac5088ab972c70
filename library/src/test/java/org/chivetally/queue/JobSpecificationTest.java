package org.chivetally.queue;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

class JobSpecificationTest {
    private static final QueueTerms TERMS = new QueueTerms("queue", "reports", 2, 0, 1.6, 60);

    private static JobSpecification job(List<StepSpecification> steps) {
        return new JobSpecification("00000000000000a1", TERMS, "payload", 0, steps);
    }

    private static StepSpecification step(int count, List<Integer> after) {
        Room greatest = new Room(Integer.MAX_VALUE, Integer.MAX_VALUE, Integer.MAX_VALUE);
        return new StepSpecification(count, greatest, Integer.MAX_VALUE, after, StepTraits.NONE);
    }

    /** The work of such a job overflowed, so that it counted as none or as less than none. */
    @Test
    void estimatesTheGreatestWorkWithoutOverflow() {
        assertThat(
                job(List.of(step(10_000, List.of()))).estimatedCoreMillis(),
                is(10_000 * StepSpecification.MAXIMUM_TASK_CORE_MILLIS));
    }

    /** The tasks of such a record would fill the heap of each entry that loads it. */
    @Test
    void rejectsTooManyTasks() {
        List<StepSpecification> steps = Collections.nCopies(11, step(10_000, List.of()));
        assertThrows(IllegalArgumentException.class, () -> job(steps));
    }

    /** A step that waits for itself or a later one never begins, or fails as the job is loaded. */
    @Test
    void rejectsAStepThatFollowsNoEarlierOne() {
        assertThrows(IndexOutOfBoundsException.class, () -> job(List.of(step(1, List.of(0)))));
        assertThrows(IndexOutOfBoundsException.class, () -> job(List.of(step(1, List.of()), step(1, List.of(-1)))));
    }
}
