package org.chivetally.queue.placement;

import java.util.Collections;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.chivetally.queue.CompletionForecast;

/**
 * Waiting tasks of one service, or of one queue of it, in order and with their sums. The sums are asked for with each
 * job that comes and each pass over the workers; added up anew each time, they would cost most when most tasks wait.
 */
final class TaskBacklog {
    private final NavigableSet<WaitingTask> inOrder = new TreeSet<>(WaitingTask.ORDER);
    /** Estimated processor milliseconds of the tasks that can end in time, by priority. */
    private final NavigableMap<Integer, Long> inTimeWork = new TreeMap<>();

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
        if (entry.reach() == CompletionForecast.Timeliness.ON_TIME) {
            inTimeWork.merge(entry.priority(), sign * entry.work(), Long::sum);
        }
    }

    boolean isEmpty() {
        return inOrder.isEmpty();
    }

    int size() {
        return inOrder.size();
    }

    /** Returns the tasks in order; a view. */
    NavigableSet<WaitingTask> inOrder() {
        return Collections.unmodifiableNavigableSet(inOrder);
    }

    /** Returns the first task, or null. */
    WaitingTask first() {
        return inOrder.isEmpty() ? null : inOrder.first();
    }

    /** Returns the task after another one, which may have been removed, or null. */
    WaitingTask next(WaitingTask entry) {
        return inOrder.higher(entry);
    }

    /** Returns the estimated processor milliseconds of tasks that can end in time, up to a priority. */
    long inTimeWork(int priority) {
        long sum = 0;
        for (long part : inTimeWork.headMap(priority, true).values()) {
            sum += part;
        }
        return sum;
    }

    /** Returns the estimated processor milliseconds of all tasks. */
    long work() {
        return work;
    }

    /** Returns the processors, in thousandths, that all tasks need. */
    long waitingMillicores() {
        return waitingMillicores;
    }
}
