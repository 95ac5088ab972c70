package org.chivetally.queue.agent;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Crashed runs of kept jobs whose count nobody has stored yet. The minion lists nothing of an incarnation that is gone,
 * so without this the crash would be forgotten with the entry that was told of it.
 */
final class UnstoredCrashes {
    /** Crashes that are remembered; a minion holds some dozens of runs, and the store takes them within seconds. */
    static final int MAXIMUM_CRASHES = 1_000;

    private final TreeMap<Long, OwnedEnd> crashes = new TreeMap<>();
    private final String name;
    private long sequence;

    /**
     * Creates an empty ledger.
     *
     * @param name differs from that of any minion and of every other start of an agent
     */
    UnstoredCrashes(String name) {
        this.name = name;
    }

    /** Notes an end; returns it with the number by which its owner says that it is stored. */
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

    /** Forgets ends that are stored, if they are from here; tells whether they are. */
    boolean markStored(String incarnation, List<Long> sequences) {
        if (!name.equals(incarnation)) {
            return false;
        }
        sequences.forEach(crashes::remove);
        return true;
    }

    /** Returns the ends that aren't stored. */
    List<OwnedEnd> unstored() {
        return new ArrayList<>(crashes.values());
    }
}
