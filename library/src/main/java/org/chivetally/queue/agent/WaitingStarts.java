package org.chivetally.queue.agent;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.chivetally.queue.JobCodec;
import org.chivetally.queue.Room;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.link.PeerLink;
import org.chivetally.wire.v1.RunStart;

/**
 * Starts that didn't fit into the worker's free resources and wait for a short time.
 *
 * <p>When nearly all resources are occupied, each end is reported to all entries, and all of them send a start for the
 * same resources. When starts were refused at once, two in five had to be placed again, and the resources that the next
 * end released were idle until an entry had learned of them.
 */
final class WaitingStarts {
    /**
     * Maximum time that a start waits. A worker with a dozen tasks of a third of a second releases resources at
     * intervals of 30 ms; after that, the start has a better chance at another worker.
     */
    static final Duration MAXIMUM_WAIT = Duration.ofMillis(30);

    /**
     * Maximum number of waiting starts. About one end releases resources within {@link #MAXIMUM_WAIT}, and ends of one
     * job occur together.
     */
    static final int MAXIMUM_WAITING = 2;

    private final List<WaitingStart> waiting = new ArrayList<>();

    /** A waiting start, the link on which it was received, and its run. */
    record WaitingStart(PeerLink link, RunStart start, RunKey run) {}

    /** Adds a start. Returns empty if there are as many as may wait. */
    Optional<WaitingStart> add(PeerLink link, RunStart start, RunKey run) {
        if (waiting.size() >= MAXIMUM_WAITING) {
            return Optional.empty();
        }
        WaitingStart added = new WaitingStart(link, start, run);
        waiting.add(added);
        return Optional.of(added);
    }

    /** Removes and returns the start that has waited longest if it fits into the free resources. */
    Optional<WaitingStart> pollFitting(Room free) {
        if (waiting.isEmpty() || !roomOf(waiting.getFirst()).fitsInto(free)) {
            return Optional.empty();
        }
        return Optional.of(waiting.removeFirst());
    }

    /** Tells whether no start waits. */
    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** Removes and returns all starts that meet a condition. */
    List<WaitingStart> removeIf(Predicate<WaitingStart> condition) {
        List<WaitingStart> removed = waiting.stream().filter(condition).toList();
        waiting.removeAll(removed);
        return removed;
    }

    /** Returns the resources that all waiting starts need. */
    Room room() {
        Room room = Room.NONE;
        for (WaitingStart start : waiting) {
            room = room.plus(roomOf(start));
        }
        return room;
    }

    private static Room roomOf(WaitingStart waiting) {
        return JobCodec.decode(waiting.start().getRoom());
    }
}
