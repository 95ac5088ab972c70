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
 * Starts that found no room at the worker and wait a moment for it.
 *
 * <p>The load it answers: nearly all room is taken, each end is told to all entries, and all of them send a start for
 * the same room. Turned down at once, two in five starts went round again, and the room that the next end frees lay
 * idle until an entry had heard of it.
 */
final class WaitingStarts {
    /**
     * How long a start waits: a worker with a dozen tasks of a third of a second frees room every 30 ms. Longer, and
     * the start would be better off at another worker.
     */
    static final Duration MAXIMUM_WAIT = Duration.ofMillis(30);

    /**
     * Starts that may wait: the room of about one end in {@link #MAXIMUM_WAIT} comes free, and ends of a job come
     * together.
     */
    static final int MAXIMUM_WAITING = 2;

    private final List<WaitingStart> waiting = new ArrayList<>();

    /** A start, the link that it came on, and what it names. */
    record WaitingStart(PeerLink link, RunStart start, RunKey run) {}

    /** Lets a start wait if there is a place for it. */
    Optional<WaitingStart> add(PeerLink link, RunStart start, RunKey run) {
        if (waiting.size() >= MAXIMUM_WAITING) {
            return Optional.empty();
        }
        WaitingStart added = new WaitingStart(link, start, run);
        waiting.add(added);
        return Optional.of(added);
    }

    /** Takes out the start that has waited longest, if it fits into the free room. */
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

    /** Takes out all starts of a kind. */
    List<WaitingStart> removeIf(Predicate<WaitingStart> condition) {
        List<WaitingStart> removed = waiting.stream().filter(condition).toList();
        waiting.removeAll(removed);
        return removed;
    }

    /** Returns the room that all of them need. */
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
