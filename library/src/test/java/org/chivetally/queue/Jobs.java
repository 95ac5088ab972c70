package org.chivetally.queue;

import java.util.List;

/** Jobs for tests. */
public final class Jobs {
    /** Room of each task. */
    public static final Room SIX_CORES = new Room(6_000, 64, 0);

    private Jobs() {}

    /** Returns a job of one step. */
    public static JobSpecification of(String id, int tasks) {
        return of(id, tasks, 0, 100);
    }

    /** Returns a job of one step with a priority and an estimate. */
    public static JobSpecification of(String id, int tasks, int priority, int estimatedMillis) {
        QueueTerms terms = new QueueTerms("queue-" + priority, "reports", 2, priority, 1.6, 60);
        StepSpecification step = new StepSpecification(tasks, SIX_CORES, estimatedMillis, List.of(), StepTraits.NONE);
        return new JobSpecification(id, terms, "payload", 1_800_000_000_000L, List.of(step));
    }

    /** Returns a job whose second step waits for its first. */
    public static JobSpecification chain(String id, int first, int second) {
        QueueTerms terms = new QueueTerms("queue", "reports", 2, 0, 1.6, 60);
        StepSpecification earlier = new StepSpecification(first, SIX_CORES, 100, List.of(), StepTraits.NONE);
        StepSpecification later = new StepSpecification(second, SIX_CORES, 50, List.of(0), StepTraits.NONE);
        return new JobSpecification(id, terms, "payload", 1_800_000_000_000L, List.of(earlier, later));
    }
}
