package org.chivetally.queue.crash;

/**
 * What is known of the crashes of one task.
 *
 * @param crashes minions that crashed under it
 * @param latestRun number of the newest run that is counted, so that one crash told twice counts once
 * @param boundedStarts starts that were counted since the third crash
 */
public record CrashCount(int crashes, long latestRun, int boundedStarts) {
    /** No crash. */
    public static final CrashCount NONE = new CrashCount(0, 0, 0);

    /** Returns the count with the crash of a run; the same if that is in it already. */
    public CrashCount withCrash(long run) {
        return run <= latestRun ? this : new CrashCount(crashes + 1, run, boundedStarts);
    }

    /** Returns the count with so many more starts, or fewer if negative. */
    public CrashCount withStarts(int more) {
        return new CrashCount(crashes, latestRun, Math.max(0, boundedStarts + more));
    }
}
