package org.chivetally.queue;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.chivetally.time.Timers;

/** Clocks and timers that stand still until a test advances them. */
public final class ManualTimers implements Timers {
    private final PriorityQueue<Due> due =
            new PriorityQueue<>(Comparator.comparingLong(Due::atNanos).thenComparingLong(Due::order));
    private long nanos = Duration.ofHours(1).toNanos();
    private long epochMillis = 1_800_000_000_000L;
    private long orders;

    @Override
    public long nanos() {
        return nanos;
    }

    @Override
    public long epochMillis() {
        return epochMillis;
    }

    @Override
    public Timer after(Duration delay, Runnable action) {
        Due entry = new Due(nanos + delay.toNanos(), orders++, action);
        due.add(entry);
        return () -> due.remove(entry);
    }

    /** Lets time pass and runs what falls due, in order. */
    public void advance(Duration time) {
        long until = nanos + time.toNanos();
        while (!due.isEmpty() && due.peek().atNanos() <= until) {
            Due next = due.poll();
            pass(Math.max(nanos, next.atNanos()));
            next.action().run();
        }
        pass(until);
    }

    /** Runs what is due now. */
    public void settle() {
        advance(Duration.ZERO);
    }

    /** Stands for a machine that was suspended: only the time of day goes on. */
    public void suspend(Duration time) {
        epochMillis += time.toMillis();
    }

    /** Stands for a process that stood still: its clocks go on, and what falls due is run afterwards. */
    public void stall(Duration time) {
        pass(nanos + time.toNanos());
    }

    private void pass(long to) {
        epochMillis += (to - nanos) / 1_000_000;
        nanos = to;
    }

    private record Due(long atNanos, long order, Runnable action) {}
}
