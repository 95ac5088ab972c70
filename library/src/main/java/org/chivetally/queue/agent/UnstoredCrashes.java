package org.chivetally.queue.agent;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Crashes during runs of durable jobs that no owner has counted in the log yet. The minion doesn't list the ends of an
 * earlier incarnation, so a crash would be lost together with the entry to which it was reported.
 */
final class UnstoredCrashes {
    /**
     * Maximum number of crashes. A minion holds some dozens of runs, and the log stores their crashes within seconds.
     */
    static final int MAXIMUM_CRASHES = 1_000;

    private final TreeMap<Long, OwnedEnd> crashes = new TreeMap<>();
    private final String name;
    private long sequence;

    /**
     * Creates an empty list.
     *
     * @param name sent in place of the minion's name; differs from that of any minion and of any other start of an
     *     agent
     */
    UnstoredCrashes(String name) {
        this.name = name;
    }

    /** Adds an end. Returns it with the sequence by which its owner acknowledges it. */
    OwnedEnd add(OwnedEnd end) {
        sequence++;
        EndedRun run = end.end();
        OwnedEnd numberedEnd =
                new OwnedEnd(end.owner(), new EndedRun(name, sequence, run.run(), run.outcome(), run.checkpoint()));
        crashes.put(sequence, numberedEnd);
        if (crashes.size() > MAXIMUM_CRASHES) {
            crashes.pollFirstEntry();
        }
        return numberedEnd;
    }

    /** Removes ends that are stored. Returns false if the name is that of a minion, not of this list. */
    boolean markStored(String incarnation, List<Long> sequences) {
        if (!name.equals(incarnation)) {
            return false;
        }
        sequences.forEach(crashes::remove);
        return true;
    }

    /** Returns the ends that are not stored. */
    List<OwnedEnd> unstored() {
        return new ArrayList<>(crashes.values());
    }
}
