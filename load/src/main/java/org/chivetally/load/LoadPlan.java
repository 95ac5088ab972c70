package org.chivetally.load;

import java.time.Duration;
import java.util.Objects;

/**
 * A run of the load tool, as declared.
 *
 * @param name name in reports
 * @param seed every random choice of the schedule follows from it
 * @param duration time over which jobs are submitted
 * @param warmUp time at the beginning whose jobs don't count for response ratios
 * @param drain longest wait for answers after the last submission
 * @param targets processes to talk to
 * @param workload what is offered
 */
public record LoadPlan(
        String name,
        long seed,
        Duration duration,
        Duration warmUp,
        Duration drain,
        Targets targets,
        Workload workload) {
    /** Refuses missing parts and a warm-up that leaves nothing to measure. */
    public LoadPlan {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(drain, "drain");
        Objects.requireNonNull(targets, "targets");
        Objects.requireNonNull(workload, "workload");
        if (warmUp.compareTo(duration) >= 0) {
            throw new IllegalArgumentException("the warm-up must be shorter than the run");
        }
    }
}
