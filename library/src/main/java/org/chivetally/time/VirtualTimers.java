package org.chivetally.time;

import java.time.Duration;
import java.util.PriorityQueue;

/** Clocks and timers that stand still until they are told to go on. Not safe for several threads. */
public class VirtualTimers implements Timers {
    private final PriorityQueue<ScheduledAction> scheduled = new PriorityQueue<>();
    private long nanos = Duration.ofHours(1).toNanos();
    private long sequence;

    @Override
    public long nanos() {
        return nanos;
    }

    @Override
    public long epochMillis() {
        return nanos / 1_000_000;
    }

    @Override
    public Timer after(Duration delay, Runnable action) {
        ScheduledAction entry = new ScheduledAction(nanos + delay.toNanos(), sequence++, action);
        scheduled.add(entry);
        return () -> scheduled.remove(entry);
    }

    /** Lets time pass and runs what falls due, in order. */
    public void advance(Duration time) {
        long until = nanos + time.toNanos();
        while (!scheduled.isEmpty() && scheduled.peek().atNanos() <= until) {
            ScheduledAction next = scheduled.poll();
            nanos = Math.max(nanos, next.atNanos());
            next.action().run();
        }
        nanos = until;
    }

    /** Stands for a process that stood still: its clocks go on, and what falls due is run by the next advance. */
    public void stall(Duration time) {
        nanos += time.toNanos();
    }

    /**
     * An action that waits for its time.
     *
     * @param atNanos when it is due
     * @param sequence tells those of the same time apart
     * @param action what is due
     */
    private record ScheduledAction(long atNanos, long sequence, Runnable action)
            implements Comparable<ScheduledAction> {
        @Override
        public int compareTo(ScheduledAction other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
