package org.chivetally.queue.placement;

import java.util.Collections;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.chivetally.queue.CompletionForecast;

/**
 * Ordered waiting tasks of one service, or of one queue of it, with their totals. The totals are kept up to date
 * because each arriving job and each placement pass asks for them: computing them on demand would take longest when the
 * backlog is longest.
 */
final class TaskBacklog {
    private final NavigableSet<WaitingTask> inOrder = new TreeSet<>(WaitingTask.ORDER);
    /** Estimated core milliseconds of the tasks whose jobs can end on time, by priority. */
    private final NavigableMap<Integer, Long> onTimeWork = new TreeMap<>();

    private long work;
    private long waitingMillicores;

    void add(WaitingTask entry) {
        inOrder.add(entry);
        addToSums(entry, 1);
    }

    void remove(WaitingTask entry) {
        inOrder.remove(entry);
        addToSums(entry, -1);
    }

    private void addToSums(WaitingTask entry, int sign) {
        work += sign * entry.work();
        waitingMillicores += (long) sign * entry.task().room().processorMillis();
        if (entry.timeliness() == CompletionForecast.Timeliness.ON_TIME) {
            onTimeWork.merge(entry.priority(), sign * entry.work(), Long::sum);
        }
    }

    boolean isEmpty() {
        return inOrder.isEmpty();
    }

    int size() {
        return inOrder.size();
    }

    /** Returns the tasks in order, as an unmodifiable view. */
    NavigableSet<WaitingTask> inOrder() {
        return Collections.unmodifiableNavigableSet(inOrder);
    }

    /** Returns the first task; null when there is none. */
    WaitingTask first() {
        return inOrder.isEmpty() ? null : inOrder.first();
    }

    /** Returns the task that follows the given one, which may have been removed; null when there is none. */
    WaitingTask next(WaitingTask entry) {
        return inOrder.higher(entry);
    }

    /**
     * Returns the estimated core milliseconds of the tasks whose jobs can end on time and whose priority comes no later
     * than the given one.
     */
    long onTimeWork(int priority) {
        long sum = 0;
        for (long part : onTimeWork.headMap(priority, true).values()) {
            sum += part;
        }
        return sum;
    }

    /** Returns the estimated core milliseconds of all tasks. */
    long work() {
        return work;
    }

    /** Returns the millicores that all tasks need together. */
    long waitingMillicores() {
        return waitingMillicores;
    }
}
