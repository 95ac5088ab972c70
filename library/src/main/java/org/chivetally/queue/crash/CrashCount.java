package org.chivetally.queue.crash;

/**
 * The recorded crashes of one task.
 *
 * @param crashes number of minions that crashed while they ran the task
 * @param latestRun number of the latest run that is counted, so that a crash that is reported twice counts once
 * @param boundedStarts starts since the crash from which on starts are counted, see
 *     {@link CrashPolicy#CRASHES_BEFORE_BOUND}
 */
public record CrashCount(int crashes, long latestRun, int boundedStarts) {
    /** No crash. */
    public static final CrashCount NONE = new CrashCount(0, 0, 0);

    /** Returns the count with the crash of a run added; unchanged if the crash is already counted. */
    public CrashCount withCrash(long run) {
        return run <= latestRun ? this : new CrashCount(crashes + 1, run, boundedStarts);
    }

    /** Returns the count with the number of bounded starts increased, or decreased for a negative argument. */
    public CrashCount withStarts(int more) {
        return new CrashCount(crashes, latestRun, Math.max(0, boundedStarts + more));
    }
}
