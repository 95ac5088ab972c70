package org.chivetally.queue.agent;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/** Ends that the minion has listed and that aren't acknowledged to it, in the order of their sequences. */
final class UnacknowledgedEnds {
    private final TreeMap<Long, TrackedEnd> ends = new TreeMap<>();
    private long storedThrough;

    /** Notes an end of an owner's run; tells whether it is new. */
    boolean add(MinionPort.ListedEnd end, RunOwner owner) {
        if (end.sequence() <= storedThrough || ends.containsKey(end.sequence())) {
            return false;
        }
        ends.put(end.sequence(), new TrackedEnd(end, owner));
        return true;
    }

    /** Notes that an end is stored, or that nobody needs it. */
    void markStored(long sequence) {
        TrackedEnd tracked = ends.get(sequence);
        if (tracked != null) {
            tracked.stored = true;
        }
        while (!ends.isEmpty() && ends.firstEntry().getValue().stored) {
            storedThrough = ends.pollFirstEntry().getKey();
        }
    }

    /** Notes that the minion's lease has ended since all of these, so that they no longer count at the minion. */
    void markLeaseExpired() {
        for (TrackedEnd tracked : ends.values()) {
            tracked.leaseExpired = true;
        }
    }

    /** Returns the owners that haven't stored an end yet since which the lease has not ended. */
    Set<RunOwner> ownersOfUnstoredEndsUnderLease() {
        Set<RunOwner> owners = new HashSet<>();
        for (TrackedEnd tracked : ends.values()) {
            if (!tracked.stored && !tracked.leaseExpired) {
                owners.add(tracked.owner);
            }
        }
        return owners;
    }

    /** Returns the sequence up to which all ends are kept. */
    long storedThrough() {
        return storedThrough;
    }

    /** Returns the ends that aren't kept. */
    List<OwnedEnd> unstored(String incarnation) {
        List<OwnedEnd> unstored = new ArrayList<>();
        for (TrackedEnd tracked : ends.values()) {
            if (!tracked.stored) {
                unstored.add(new OwnedEnd(tracked.owner, tracked.end.toEndedRun(incarnation)));
            }
        }
        return unstored;
    }

    boolean isEmpty() {
        return ends.isEmpty();
    }

    void clear() {
        ends.clear();
        storedThrough = 0;
    }

    private static final class TrackedEnd {
        private final MinionPort.ListedEnd end;
        private final RunOwner owner;
        private boolean stored;
        private boolean leaseExpired;

        private TrackedEnd(MinionPort.ListedEnd end, RunOwner owner) {
            this.end = end;
            this.owner = owner;
        }
    }
}
