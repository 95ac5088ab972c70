package org.chivetally.queue.crash;

import java.util.Objects;
import org.chivetally.queue.CountedRuns;

/**
 * The recorded crashes of one task.
 *
 * @param runs the runs during which a minion crashed
 * @param boundedStarts starts since the crash from which on starts are counted, see
 *     {@link CrashPolicy#CRASHES_BEFORE_BOUND}
 */
public record CrashCount(CountedRuns runs, int boundedStarts) {
    /** No crash. */
    public static final CrashCount NONE = new CrashCount(CountedRuns.NONE, 0);

    /** Rejects null components. */
    public CrashCount {
        Objects.requireNonNull(runs, "runs");
    }

    /** Returns the number of minions that crashed while they ran the task. */
    public int crashes() {
        return runs.total();
    }

    /** Returns the count with the crash of a run added; unchanged if the crash is already counted. */
    public CrashCount withCrash(long run) {
        return runs.includes(run) ? this : new CrashCount(runs.with(run), boundedStarts);
    }

    /** Returns the count with the number of bounded starts increased, or decreased for a negative argument. */
    public CrashCount withStarts(int more) {
        return new CrashCount(runs, Math.max(0, boundedStarts + more));
    }
}
