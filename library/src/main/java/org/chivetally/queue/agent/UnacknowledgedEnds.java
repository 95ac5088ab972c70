package org.chivetally.queue.agent;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/** The ends that the minion has listed and that are not acknowledged to it, ordered by sequence. */
final class UnacknowledgedEnds {
    private final TreeMap<Long, TrackedEnd> ends = new TreeMap<>();
    private long storedThrough;

    /** Adds the end of an owner's run. Returns whether it is new. */
    boolean add(MinionPort.ListedEnd end, RunOwner owner) {
        if (end.sequence() <= storedThrough || ends.containsKey(end.sequence())) {
            return false;
        }
        ends.put(end.sequence(), new TrackedEnd(end, owner));
        return true;
    }

    /** Records that an end is stored, or that it doesn't have to be. */
    void markStored(long sequence) {
        TrackedEnd tracked = ends.get(sequence);
        if (tracked != null) {
            tracked.stored = true;
        }
        while (!ends.isEmpty() && ends.firstEntry().getValue().stored) {
            storedThrough = ends.pollFirstEntry().getKey();
        }
    }

    /** Records that the minion's lease has expired since all of these ends, which makes them invalid at the minion. */
    void markLeaseExpired() {
        for (TrackedEnd tracked : ends.values()) {
            tracked.leaseExpired = true;
        }
    }

    /** Returns the owners of unstored ends since which the lease has not expired. */
    Set<RunOwner> ownersOfUnstoredEndsUnderLease() {
        Set<RunOwner> owners = new HashSet<>();
        for (TrackedEnd tracked : ends.values()) {
            if (!tracked.stored && !tracked.leaseExpired) {
                owners.add(tracked.owner);
            }
        }
        return owners;
    }

    /** Returns the sequence up to which all ends are stored. */
    long storedThrough() {
        return storedThrough;
    }

    /**
     * Returns the ends that are not stored.
     *
     * @param incarnation name of the incarnation that listed them
     */
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
