package org.chivetally.queue.agent;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Crashed runs of kept jobs whose count nobody has stored yet. The minion lists nothing of an incarnation that is gone,
 * so without this the crash would be forgotten with the entry that was told of it.
 */
final class CrashLedger {
    /** Crashes that are remembered; a minion holds some dozens of runs, and the store takes them within seconds. */
    static final int MOST = 1_000;

    private final TreeMap<Long, OwnedEnd> open = new TreeMap<>();
    private final String name;
    private long sequence;

    /**
     * Creates an empty ledger.
     *
     * @param name differs from that of any minion and of every other start of an agent
     */
    CrashLedger(String name) {
        this.name = name;
    }

    /** Notes an end; returns it with the number by which its owner says that it is stored. */
    OwnedEnd add(OwnedEnd end) {
        sequence++;
        EndedRun run = end.end();
        OwnedEnd numbered =
                new OwnedEnd(end.owner(), new EndedRun(name, sequence, run.run(), run.outcome(), run.checkpoint()));
        open.put(sequence, numbered);
        if (open.size() > MOST) {
            open.pollFirstEntry();
        }
        return numbered;
    }

    /** Forgets ends that are stored, if they are from here; tells whether they are. */
    boolean kept(String minion, List<Long> sequences) {
        if (!name.equals(minion)) {
            return false;
        }
        sequences.forEach(open::remove);
        return true;
    }

    /** Returns the ends that aren't stored. */
    List<OwnedEnd> open() {
        return new ArrayList<>(open.values());
    }
}
