package org.chivetally.queue.agent;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/** Ends that the minion has listed and that aren't acknowledged to it, in the order of their sequences. */
final class EndList {
    private final TreeMap<Long, Entry> entries = new TreeMap<>();
    private long keptThrough;

    /** Notes an end of an owner's run; tells whether it is new. */
    boolean add(MinionPort.ListedEnd end, RunOwner owner) {
        if (end.sequence() <= keptThrough || entries.containsKey(end.sequence())) {
            return false;
        }
        entries.put(end.sequence(), new Entry(end, owner));
        return true;
    }

    /** Notes that an end is stored, or that nobody needs it. */
    void keep(long sequence) {
        Entry entry = entries.get(sequence);
        if (entry != null) {
            entry.kept = true;
        }
        while (!entries.isEmpty() && entries.firstEntry().getValue().kept) {
            keptThrough = entries.pollFirstEntry().getKey();
        }
    }

    /** Notes that the minion's lease has ended since all of these, so that they no longer count at the minion. */
    void lapsed() {
        for (Entry entry : entries.values()) {
            entry.lapsed = true;
        }
    }

    /** Returns the owners that haven't stored an end yet since which the lease has not ended. */
    Set<RunOwner> ownersBeforeLapse() {
        Set<RunOwner> owners = new HashSet<>();
        for (Entry entry : entries.values()) {
            if (!entry.kept && !entry.lapsed) {
                owners.add(entry.owner);
            }
        }
        return owners;
    }

    /** Returns the sequence up to which all ends are kept. */
    long keptThrough() {
        return keptThrough;
    }

    /** Returns the ends that aren't kept. */
    List<OwnedEnd> open(String boot) {
        List<OwnedEnd> open = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (!entry.kept) {
                open.add(new OwnedEnd(entry.owner, entry.end.of(boot)));
            }
        }
        return open;
    }

    boolean isEmpty() {
        return entries.isEmpty();
    }

    void clear() {
        entries.clear();
        keptThrough = 0;
    }

    private static final class Entry {
        private final MinionPort.ListedEnd end;
        private final RunOwner owner;
        private boolean kept;
        private boolean lapsed;

        private Entry(MinionPort.ListedEnd end, RunOwner owner) {
            this.end = end;
            this.owner = owner;
        }
    }
}
