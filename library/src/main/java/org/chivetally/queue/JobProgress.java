package org.chivetally.queue;

import java.util.BitSet;
import java.util.Map;
import java.util.Objects;
import org.chivetally.queue.crash.CrashCount;

/**
 * What has become of a job, as it is kept in the log.
 *
 * @param phase phase of the job
 * @param done places of the tasks that are done
 * @param failures failed runs by place of the task
 * @param crashes crashes by place of the task
 * @param endedAtMillis when the job ended, in milliseconds since 1970; 0 while it hasn't
 */
public record JobProgress(
        JobPhase phase,
        BitSet done,
        Map<Integer, Integer> failures,
        Map<Integer, CrashCount> crashes,
        long endedAtMillis) {
    /** Copies the collections. */
    public JobProgress {
        Objects.requireNonNull(phase, "phase");
        done = (BitSet) done.clone();
        failures = Map.copyOf(failures);
        crashes = Map.copyOf(crashes);
    }

    /** Returns the progress of a job of which the log knows only that it was accepted. */
    public static JobProgress none() {
        return new JobProgress(JobPhase.QUEUED, new BitSet(), Map.of(), Map.of(), 0);
    }
}
