package org.chivetally.queue;

import java.util.Set;
import java.util.TreeSet;

/**
 * The runs of a task that count towards a limit. They are identified by their numbers, since an end is reported
 * repeatedly until it is stored, and again to the next owner if its acknowledgement is lost.
 *
 * @param runs numbers of the runs
 * @param unnumbered number of further runs, read from a record of a release that stored no run numbers
 */
public record CountedRuns(Set<Long> runs, int unnumbered) {
    /** No run. */
    public static final CountedRuns NONE = new CountedRuns(Set.of(), 0);

    /** Copies the run numbers. */
    public CountedRuns {
        runs = Set.copyOf(runs);
    }

    /** Returns the number of runs. */
    public int total() {
        return runs.size() + unnumbered;
    }

    /** Returns the greatest run number; 0 if there is none. */
    public long latest() {
        long latest = 0;
        for (long run : runs) {
            latest = Math.max(latest, run);
        }
        return latest;
    }

    /** Tells whether a run is counted. */
    public boolean includes(long run) {
        return runs.contains(run);
    }

    /** Returns the runs with one more; unchanged if that one is already counted. */
    public CountedRuns with(long run) {
        if (includes(run)) {
            return this;
        }
        Set<Long> more = new TreeSet<>(runs);
        more.add(run);
        return new CountedRuns(more, unnumbered);
    }
}
