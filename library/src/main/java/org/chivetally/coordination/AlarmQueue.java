package org.chivetally.coordination;

import java.util.ArrayList;
import java.util.List;

/**
 * Alarms in the order of their times, those of one time in the order they were set; a heap with constant-time look-up.
 */
final class AlarmQueue {
    private final List<Entry> heap = new ArrayList<>();
    private long sequence;

    /** Sets an alarm for a time in nanoseconds. */
    Entry set(long at, Alarm alarm) {
        Entry entry = new Entry(at, sequence++, alarm);
        entry.position = heap.size();
        heap.add(entry);
        siftUp(entry);
        return entry;
    }

    /** Cancels an alarm; does nothing when it is null, cancelled or has gone off. */
    void cancel(Entry entry) {
        if (entry == null || entry.position < 0) {
            return;
        }
        Entry last = heap.removeLast();
        if (last != entry) {
            put(last, entry.position);
            siftUp(last);
            siftDown(last);
        }
        entry.position = -1;
    }

    /** Takes out the first alarm that is due; null when none is. */
    Alarm pollDue(long now) {
        if (heap.isEmpty() || heap.getFirst().at - now > 0) {
            return null;
        }
        Entry first = heap.getFirst();
        cancel(first);
        return first.alarm;
    }

    int size() {
        return heap.size();
    }

    private void siftUp(Entry entry) {
        while (entry.position > 0) {
            Entry parent = heap.get((entry.position - 1) / 2);
            if (parent.isBefore(entry)) {
                return;
            }
            swap(parent, entry);
        }
    }

    private void siftDown(Entry entry) {
        while (true) {
            int child = 2 * entry.position + 1;
            if (child >= heap.size()) {
                return;
            }
            Entry least = heap.get(child);
            if (child + 1 < heap.size() && heap.get(child + 1).isBefore(least)) {
                least = heap.get(child + 1);
            }
            if (entry.isBefore(least)) {
                return;
            }
            swap(entry, least);
        }
    }

    private void swap(Entry upper, Entry lower) {
        int position = upper.position;
        put(upper, lower.position);
        put(lower, position);
    }

    private void put(Entry entry, int position) {
        entry.position = position;
        heap.set(position, entry);
    }

    /** One alarm that was set. */
    static final class Entry {
        private final long at;
        private final long sequence;
        private final Alarm alarm;
        private int position;

        private Entry(long at, long sequence, Alarm alarm) {
            this.at = at;
            this.sequence = sequence;
            this.alarm = alarm;
        }

        private boolean isBefore(Entry other) {
            long earlier = at - other.at;
            return earlier < 0 || earlier == 0 && sequence < other.sequence;
        }
    }
}
