package org.chivetally.time;

import java.time.Duration;
import java.util.PriorityQueue;

/** Clocks and timers in virtual time, which passes only in {@link #advance} and {@link #stall}. Not thread-safe. */
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
        ScheduledAction timer = new ScheduledAction(nanos + delay.toNanos(), sequence++, action);
        scheduled.add(timer);
        return () -> scheduled.remove(timer);
    }

    /** Advances the clocks and runs all actions that become due, in order. */
    public void advance(Duration time) {
        long until = nanos + time.toNanos();
        while (!scheduled.isEmpty() && scheduled.peek().atNanos() <= until) {
            ScheduledAction next = scheduled.poll();
            nanos = Math.max(nanos, next.atNanos());
            next.action().run();
        }
        nanos = until;
    }

    /** Simulates a stalled process: advances the clocks but leaves due actions to the next {@link #advance}. */
    public void stall(Duration time) {
        nanos += time.toNanos();
    }

    /**
     * A scheduled action.
     *
     * @param atNanos time at which the action is due, in nanoseconds
     * @param sequence order of actions that are due at the same time
     * @param action action to run
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
