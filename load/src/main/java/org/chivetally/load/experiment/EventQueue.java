package org.chivetally.load.experiment;

import java.util.PriorityQueue;

/**
 * Event queue of a discrete-event simulation. Events run in order of simulated time; those of the same time run in
 * insertion order.
 */
final class EventQueue {
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long addedCount;
    private long nowNanos;

    /**
     * Schedules an event.
     *
     * @param delayNanos delay from the current simulated time, in nanoseconds
     */
    void schedule(long delayNanos, Runnable action) {
        events.add(new Event(nowNanos + delayNanos, addedCount++, action));
    }

    /** Runs the next event and advances the time to it. Returns false if there is none. */
    boolean runNext() {
        Event next = events.poll();
        if (next == null) {
            return false;
        }
        nowNanos = next.dueNanos;
        next.action.run();
        return true;
    }

    /** Returns the simulated time in nanoseconds. */
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
