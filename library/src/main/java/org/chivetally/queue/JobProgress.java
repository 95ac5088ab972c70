package org.chivetally.queue;

import java.util.BitSet;
import java.util.Map;
import java.util.Objects;
import org.chivetally.queue.crash.CrashCount;

/**
 * Progress of a job, as stored in the log. Tasks are identified by their position among all tasks of the job.
 *
 * @param phase phase of the job
 * @param done positions of the tasks that are done
 * @param failures failed runs, by position of the task
 * @param crashes minion crashes, by position of the task
 * @param endedAtMillis when the job ended, in milliseconds since the Unix epoch; 0 before its end
 */
public record JobProgress(
        JobPhase phase,
        BitSet done,
        Map<Integer, CountedRuns> failures,
        Map<Integer, CrashCount> crashes,
        long endedAtMillis) {
    /** Requires a phase and copies the collections. */
    public JobProgress {
        Objects.requireNonNull(phase, "phase");
        done = (BitSet) done.clone();
        failures = Map.copyOf(failures);
        crashes = Map.copyOf(crashes);
    }

    /** Returns the progress of a job of which only the acceptance is stored. */
    public static JobProgress none() {
        return new JobProgress(JobPhase.QUEUED, new BitSet(), Map.of(), Map.of(), 0);
    }
}
