package org.chivetally.load.experiment;

import java.util.PriorityQueue;

/** Steps that are due at model times, taken by rising time; steps of the same time in the order they were added. */
final class EventQueue {
    private final PriorityQueue<Step> steps = new PriorityQueue<>();
    private long added;
    private long now;

    /** Adds a step that is due some time from now. */
    void after(long nanos, Runnable action) {
        steps.add(new Step(now + nanos, added++, action));
    }

    /** Carries out the next step; false when there is none. */
    boolean step() {
        Step next = steps.poll();
        if (next == null) {
            return false;
        }
        now = next.nanos;
        next.action.run();
        return true;
    }

    /** Returns the model time in nanoseconds. */
    long now() {
        return now;
    }

    private record Step(long nanos, long order, Runnable action) implements Comparable<Step> {
        @Override
        public int compareTo(Step other) {
            int byTime = Long.compare(nanos, other.nanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }
}
