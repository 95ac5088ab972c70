package org.chivetally.load;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * The declared plan of a load run.
 *
 * @param name name in reports
 * @param seed seed of all random choices in the schedule
 * @param duration time during which jobs are submitted
 * @param warmUp time at the beginning that is excluded from response ratios, goodput and sending lag
 * @param targets processes of the deployment under test
 * @param workload jobs to submit
 * @param faults faults to inject
 * @param goals limits for figures
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
    /** Rejects null components and a warm-up that leaves no time to measure. */
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

    /** Returns the same plan with another seed, and therefore another schedule. */
    public LoadPlan withSeed(long newSeed) {
        return new LoadPlan(name, newSeed, duration, warmUp, targets, workload, faults, goals);
    }

    /**
     * Returns whether a time belongs to the measured part of the run.
     *
     * @param nanos nanoseconds since the beginning of the run
     */
    public boolean isMeasured(long nanos) {
        return nanos >= warmUp.toNanos() && nanos < duration.toNanos();
    }

    /** Returns the duration of the measured part of the run. */
    public Duration measuredDuration() {
        return duration.minus(warmUp);
    }
}
