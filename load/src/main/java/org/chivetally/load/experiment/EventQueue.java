package org.chivetally.load.experiment;

import java.util.PriorityQueue;

/** Steps that are due at model times, taken by rising time; steps of the same time in the order they were added. */
final class EventQueue {
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long addedCount;
    private long nowNanos;

    /** Adds a step that is due some time from now. */
    void schedule(long delayNanos, Runnable action) {
        events.add(new Event(nowNanos + delayNanos, addedCount++, action));
    }

    /** Carries out the next step; false when there is none. */
    boolean runNext() {
        Event next = events.poll();
        if (next == null) {
            return false;
        }
        nowNanos = next.dueNanos;
        next.action.run();
        return true;
    }

    /** Returns the model time in nanoseconds. */
    long nowNanos() {
        return nowNanos;
    }

    private record Event(long dueNanos, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(dueNanos, other.dueNanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }
}
