package org.chivetally.load;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * A run of the load tool, as declared.
 *
 * @param name name in reports
 * @param seed every random choice of the schedule follows from it
 * @param duration time over which jobs are submitted
 * @param warmUp time at the beginning whose jobs don't count for response ratios
 * @param targets processes to talk to
 * @param workload what is offered
 * @param faults faults brought about meanwhile
 * @param goals limits that figures are held against
 */
public record LoadPlan(
        String name,
        long seed,
        Duration duration,
        Duration warmUp,
        Targets targets,
        Workload workload,
        FaultSchedule faults,
        Map<Figure, Double> goals) {
    /** Refuses missing parts and a warm-up that leaves nothing to measure. */
    public LoadPlan {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(targets, "targets");
        Objects.requireNonNull(workload, "workload");
        Objects.requireNonNull(faults, "faults");
        goals = new TreeMap<>(goals);
        if (warmUp.compareTo(duration) >= 0) {
            throw new IllegalArgumentException("the warm-up must be shorter than the run");
        }
    }

    /** Returns the same plan with another schedule. */
    public LoadPlan withSeed(long newSeed) {
        return new LoadPlan(name, newSeed, duration, warmUp, targets, workload, faults, goals);
    }

    /** Tells whether an instant, in nanoseconds from the beginning of the run, counts for figures. */
    public boolean isMeasured(long nanos) {
        return nanos >= warmUp.toNanos() && nanos < duration.toNanos();
    }

    /** Returns the time that counts for figures. */
    public Duration measuredDuration() {
        return duration.minus(warmUp);
    }
}
