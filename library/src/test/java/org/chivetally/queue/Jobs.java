package org.chivetally.queue;

import java.util.List;

/** Job specifications for tests. */
public final class Jobs {
    /** Resources of each task. */
    public static final Room SIX_CORES = new Room(6_000, 64, 0);

    private Jobs() {}

    /** Returns a job with one step. */
    public static JobSpecification of(String id, int tasks) {
        return of(id, tasks, 0, 100);
    }

    /**
     * Returns a job with one step.
     *
     * @param id id of the job
     * @param tasks number of tasks
     * @param priority priority of the queue, which is named after it
     * @param estimatedMillis estimated duration of each task, in milliseconds
     */
    public static JobSpecification of(String id, int tasks, int priority, int estimatedMillis) {
        QueueTerms terms = new QueueTerms("queue-" + priority, "reports", 2, priority, 1.6, 60);
        StepSpecification step = new StepSpecification(tasks, SIX_CORES, estimatedMillis, List.of(), StepTraits.NONE);
        return new JobSpecification(id, terms, "payload", 1_800_000_000_000L, List.of(step));
    }

    /**
     * Returns a job with two steps, of which the second depends on the first.
     *
     * @param id id of the job
     * @param first number of tasks of the first step
     * @param second number of tasks of the second step
     */
    public static JobSpecification chain(String id, int first, int second) {
        QueueTerms terms = new QueueTerms("queue", "reports", 2, 0, 1.6, 60);
        StepSpecification earlier = new StepSpecification(first, SIX_CORES, 100, List.of(), StepTraits.NONE);
        StepSpecification later = new StepSpecification(second, SIX_CORES, 50, List.of(0), StepTraits.NONE);
        return new JobSpecification(id, terms, "payload", 1_800_000_000_000L, List.of(earlier, later));
    }
}
