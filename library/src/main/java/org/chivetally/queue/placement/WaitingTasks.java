package org.chivetally.queue.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.chivetally.queue.Job;
import org.chivetally.queue.JobPhase;
import org.chivetally.queue.Outlook;
import org.chivetally.queue.Task;

/**
 * Tasks that wait for room, by service, in the order in which they are placed: first those of jobs that can still end
 * within their objective, then those that will be late, then the hopeless; among these by the queue's priority, then
 * the oldest job first, and tasks of one job together, as a job is worth nothing until its last task ends.
 *
 * <p>The load it answers is a backlog that stays, as after an outage with little room to spare. Oldest first, every job
 * waits as long as the backlog is deep and all are a little late: half of the jobs for 14 s after a loss of power at
 * 95% load. Jobs that have missed their objective already give way instead, and the rest are served in time.
 */
public final class WaitingTasks {
    // Written out: comparators that are put together are serializable lambdas, which the JVM generates at each start.
    private static final Comparator<Entry> ORDER = WaitingTasks::compare;

    private static final Comparator<Entry> BY_END_OF_OUTLOOK = (left, right) -> {
        int order = Long.compare(left.untilNanos(), right.untilNanos());
        return order != 0 ? order : compare(left, right);
    };

    private static final ServiceQueue EMPTY = new ServiceQueue();

    private final Map<String, ServiceQueue> byService = new HashMap<>();
    private final NavigableSet<Entry> byEndOfOutlook = new TreeSet<>(BY_END_OF_OUTLOOK);
    private final Map<Task, Entry> entries = new HashMap<>();

    private static int compare(Entry left, Entry right) {
        int order = left.reach().compareTo(right.reach());
        if (order == 0) {
            order = Integer.compare(left.priority(), right.priority());
        }
        return order != 0 ? order : compareAge(left.task(), right.task());
    }

    private static int compareAge(Task left, Task right) {
        int order = Long.compare(left.job().acceptedAtNanos(), right.job().acceptedAtNanos());
        if (order == 0) {
            order = left.job()
                    .specification()
                    .id()
                    .compareTo(right.job().specification().id());
        }
        return order != 0 ? order : Integer.compare(left.place(), right.place());
    }

    /** Adds a task that may be placed. */
    public void add(Task task, long nowNanos) {
        remove(task);
        Outlook outlook = task.job().outlook(nowNanos);
        int priority = task.job().specification().terms().priority();
        Entry entry = new Entry(task, priority, outlook.reach(), outlook.untilNanos());
        entries.put(task, entry);
        byEndOfOutlook.add(entry);
        byService.computeIfAbsent(service(task), name -> new ServiceQueue()).add(entry);
    }

    /** Removes a task; nothing happens when it doesn't wait. */
    public void remove(Task task) {
        Entry entry = entries.remove(task);
        if (entry == null) {
            return;
        }
        byEndOfOutlook.remove(entry);
        ServiceQueue queue = byService.get(service(task));
        queue.remove(entry);
        if (queue.inOrder.isEmpty()) {
            byService.remove(service(task));
        }
    }

    /** Moves the tasks whose jobs can reach less than when they were added; tells whether there were any. */
    public boolean refresh(long nowNanos) {
        boolean moved = false;
        while (!byEndOfOutlook.isEmpty() && byEndOfOutlook.first().untilNanos() < nowNanos) {
            add(byEndOfOutlook.first().task(), nowNanos);
            moved = true;
        }
        return moved;
    }

    /**
     * Returns the jobs that have missed their objective without a start and won't get their turn while they are worth
     * anything: all room goes to what comes after them. Told so at once, their callers don't wait in vain.
     *
     * @param spareMillis processors in thousandths that what comes leaves over
     */
    public List<Job> withoutProspect(String service, long spareMillis, long nowNanos) {
        Set<Job> jobs = new LinkedHashSet<>();
        long work = 0;
        for (Entry entry : inOrder(service)) {
            Job job = entry.task().job();
            long waitNanos = spareMillis <= 0 ? Long.MAX_VALUE : 1_000_000_000L * work / spareMillis;
            boolean overtaken = entry.reach() == Outlook.Reach.LATE && entry.untilNanos() - nowNanos < waitNanos;
            if (overtaken && job.phase() == JobPhase.QUEUED) {
                jobs.add(job);
            } else {
                work += entry.work();
            }
        }
        return List.copyOf(jobs);
    }

    /** Returns the services that have waiting tasks. */
    public Collection<String> services() {
        return List.copyOf(byService.keySet());
    }

    /** Returns the first tasks of a service, in order. */
    public List<Task> first(String service, int most) {
        List<Task> tasks = new ArrayList<>();
        for (Entry entry : inOrder(service)) {
            if (tasks.size() == most) {
                break;
            }
            tasks.add(entry.task());
        }
        return tasks;
    }

    /** Returns the number of waiting tasks. */
    public int size() {
        return entries.size();
    }

    /** Tells whether nothing waits. */
    public boolean isEmpty() {
        return entries.isEmpty();
    }

    /** Returns the estimated processor milliseconds that are placed before a new job of the given priority. */
    public long workAhead(String service, int priority) {
        long work = 0;
        for (long part : queue(service).inTimeWork.headMap(priority, true).values()) {
            work += part;
        }
        return work;
    }

    /** Returns the processors, in thousandths, that all waiting tasks of a service need. */
    public long processorMillis(String service) {
        return queue(service).processorMillis;
    }

    /** Returns the estimated processor milliseconds of all waiting tasks of a service. */
    public long work(String service) {
        return queue(service).work;
    }

    private ServiceQueue queue(String service) {
        return byService.getOrDefault(service, EMPTY);
    }

    private NavigableSet<Entry> inOrder(String service) {
        return Collections.unmodifiableNavigableSet(queue(service).inOrder);
    }

    private static String service(Task task) {
        return task.job().specification().terms().service();
    }

    /** A waiting task with what its place in the order depends on, which may not change while it is in the set. */
    private record Entry(Task task, int priority, Outlook.Reach reach, long untilNanos) {
        /** Returns the estimated processor milliseconds. */
        private long work() {
            return task.room().processorMillis() * task.step().estimatedMillis() / 1000;
        }
    }

    /**
     * The waiting tasks of one service with their sums. These are asked for with each job that comes and each pass over
     * the workers; added up anew each time, they would cost most when most tasks wait.
     */
    private static final class ServiceQueue {
        private final NavigableSet<Entry> inOrder = new TreeSet<>(ORDER);
        /** Estimated processor milliseconds of the tasks that can end in time, by priority. */
        private final NavigableMap<Integer, Long> inTimeWork = new TreeMap<>();

        private long work;
        private long processorMillis;

        private void add(Entry entry) {
            inOrder.add(entry);
            count(entry, 1);
        }

        private void remove(Entry entry) {
            inOrder.remove(entry);
            count(entry, -1);
        }

        private void count(Entry entry, int sign) {
            work += sign * entry.work();
            processorMillis += (long) sign * entry.task().room().processorMillis();
            if (entry.reach() == Outlook.Reach.IN_TIME) {
                inTimeWork.merge(entry.priority(), sign * entry.work(), Long::sum);
            }
        }
    }
}
