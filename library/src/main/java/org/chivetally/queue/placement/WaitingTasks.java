package org.chivetally.queue.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.chivetally.queue.CompletionForecast;
import org.chivetally.queue.Job;
import org.chivetally.queue.JobPhase;
import org.chivetally.queue.QueueTerms;
import org.chivetally.queue.Task;
import org.chivetally.queue.share.Division;
import org.chivetally.queue.share.QueueLoads;

/**
 * Tasks that wait for room, by service, in the order in which they are placed: first those of jobs that can still end
 * within their objective, then those that will be late, then the hopeless; among these by the queue's priority, then
 * the oldest job first, and tasks of one job together, as a job is worth nothing until its last task ends.
 *
 * <p>The load it answers is a backlog that stays, as after an outage with little room to spare. Oldest first, every job
 * waits as long as the backlog is deep and all are a little late: half of the jobs for 14 s after a loss of power at
 * 95% load. Jobs that have missed their objective already give way instead, and the rest are served in time.
 *
 * <p>Where queues share room by weight, each queue has an ordered set of its own, so that a pass can take tasks of the
 * queues below their shares first without sorting anything, and jobs of which a part runs go before those not begun.
 */
public final class WaitingTasks {
    private static final WaitingLine EMPTY = new WaitingLine();

    /** Name of the only line of a service whose queues share nothing. */
    private static final String ALL_QUEUES = "";

    private final boolean byQueue;
    private final Map<String, Map<String, WaitingLine>> lines = new HashMap<>();
    private final NavigableSet<WaitingTask> byEndOfOutlook = new TreeSet<>(WaitingTask.BY_END_OF_OUTLOOK);
    private final Map<Task, WaitingTask> entries = new HashMap<>();

    /** Creates an empty set of tasks whose queues have no shares. */
    public WaitingTasks() {
        this(false);
    }

    /**
     * Creates an empty set.
     *
     * @param byQueue whether queues share room by weight
     */
    public WaitingTasks(boolean byQueue) {
        this.byQueue = byQueue;
    }

    /** Adds a task that may be placed. */
    public void add(Task task, long nowNanos) {
        remove(task);
        CompletionForecast outlook = task.job().completionForecast(nowNanos);
        QueueTerms terms = task.job().specification().terms();
        WaitingTask entry = new WaitingTask(
                task, terms.priority(), outlook.timeliness(), outlook.validUntilNanos(), hasBegun(task.job()));
        entries.put(task, entry);
        byEndOfOutlook.add(entry);
        lines.computeIfAbsent(terms.service(), name -> new TreeMap<>())
                .computeIfAbsent(lineOf(terms), name -> new WaitingLine())
                .add(entry);
    }

    private String lineOf(QueueTerms terms) {
        return byQueue ? terms.queue() : ALL_QUEUES;
    }

    /** Removes a task; nothing happens when it doesn't wait. */
    public void remove(Task task) {
        WaitingTask entry = entries.remove(task);
        if (entry == null) {
            return;
        }
        byEndOfOutlook.remove(entry);
        QueueTerms terms = task.job().specification().terms();
        Map<String, WaitingLine> ofService = lines.get(terms.service());
        WaitingLine line = ofService.get(lineOf(terms));
        line.remove(entry);
        if (line.isEmpty()) {
            ofService.remove(lineOf(terms));
            if (ofService.isEmpty()) {
                lines.remove(terms.service());
            }
        }
    }

    /**
     * Puts the waiting tasks of a job where its phase says: before those of jobs that have not begun, or among them
     * again when all its starts were turned down.
     */
    public void reorder(Job job, long nowNanos) {
        if (!byQueue) {
            return;
        }
        for (Task task : job.tasksIn(Task.Status.WAITING)) {
            WaitingTask entry = entries.get(task);
            if (entry != null && entry.begun() != hasBegun(job)) {
                add(task, nowNanos);
            }
        }
    }

    private boolean hasBegun(Job job) {
        return byQueue && job.phase() == JobPhase.RUNNING;
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
        return withoutProspect(inOrder(service), spareMillis, nowNanos);
    }

    private static List<Job> withoutProspect(Collection<WaitingTask> inOrder, long spareMillis, long nowNanos) {
        Set<Job> jobs = new LinkedHashSet<>();
        long work = 0;
        for (WaitingTask entry : inOrder) {
            Job job = entry.task().job();
            long waitNanos = spareMillis <= 0 ? Long.MAX_VALUE : 1_000_000_000L * work / spareMillis;
            boolean overtaken =
                    entry.reach() == CompletionForecast.Timeliness.LATE && entry.untilNanos() - nowNanos < waitNanos;
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
        return List.copyOf(lines.keySet());
    }

    /** Returns the first tasks of a service, in order. */
    public List<Task> first(String service, int most) {
        List<Task> tasks = new ArrayList<>();
        for (WaitingTask entry : inOrder(service)) {
            if (tasks.size() == most) {
                break;
            }
            tasks.add(entry.task());
        }
        return tasks;
    }

    /**
     * Returns the order of one pass in which tasks of queues below their shares come first.
     *
     * @param own what the entry's runs of each queue hold
     * @param most tasks that the pass looks at
     */
    public Turns turns(String service, Division division, QueueLoads own, int most) {
        return new Turns(lines(service), division, own, most);
    }

    /** Adds what the waiting tasks need to a tally for each service. */
    public void addTo(Map<String, QueueLoads> byService) {
        for (Map.Entry<String, Map<String, WaitingLine>> service : lines.entrySet()) {
            QueueLoads loads = byService.computeIfAbsent(service.getKey(), name -> new QueueLoads());
            for (Map.Entry<String, WaitingLine> line : service.getValue().entrySet()) {
                loads.add(line.getKey(), 0, line.getValue().processorMillis());
            }
        }
    }

    /** Returns the mean processors, in thousandths, of the waiting tasks of the queue with the smallest; 0 for none. */
    public long smallestRoom(String service) {
        long smallest = 0;
        for (WaitingLine line : lines(service).values()) {
            long mean = line.processorMillis() / line.size();
            smallest = smallest == 0 ? mean : Math.min(smallest, mean);
        }
        return smallest;
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
        for (WaitingLine line : lines(service).values()) {
            work += line.inTimeWork(priority);
        }
        return work;
    }

    /** Returns the processors, in thousandths, that all waiting tasks of a service need. */
    public long processorMillis(String service) {
        long millis = 0;
        for (WaitingLine line : lines(service).values()) {
            millis += line.processorMillis();
        }
        return millis;
    }

    /** Returns the estimated processor milliseconds of all waiting tasks of a service. */
    public long work(String service) {
        long work = 0;
        for (WaitingLine line : lines(service).values()) {
            work += line.work();
        }
        return work;
    }

    /** Returns the estimated processor milliseconds of a queue that are placed before a new job of it. */
    public long workAhead(String service, String queue, int priority) {
        return line(service, queue).inTimeWork(priority);
    }

    /** Returns the estimated processor milliseconds of all waiting tasks of a queue. */
    public long work(String service, String queue) {
        return line(service, queue).work();
    }

    private WaitingLine line(String service, String queue) {
        return lines(service).getOrDefault(queue, EMPTY);
    }

    private Map<String, WaitingLine> lines(String service) {
        return lines.getOrDefault(service, Map.of());
    }

    private Collection<WaitingTask> inOrder(String service) {
        Map<String, WaitingLine> ofService = lines(service);
        if (ofService.size() <= 1) {
            return ofService.isEmpty()
                    ? EMPTY.inOrder()
                    : ofService.values().iterator().next().inOrder();
        }
        return merged(ofService.values());
    }

    /** Merges lines that are each in order, which costs less than to sort them anew. */
    private static List<WaitingTask> merged(Collection<WaitingLine> lines) {
        List<WaitingTask> merged = new ArrayList<>();
        List<Iterator<WaitingTask>> rests = new ArrayList<>();
        List<WaitingTask> heads = new ArrayList<>();
        for (WaitingLine line : lines) {
            Iterator<WaitingTask> rest = line.inOrder().iterator();
            rests.add(rest);
            heads.add(rest.next());
        }
        while (!heads.isEmpty()) {
            int first = 0;
            for (int place = 1; place < heads.size(); place++) {
                first = WaitingTask.ORDER.compare(heads.get(place), heads.get(first)) < 0 ? place : first;
            }
            merged.add(heads.get(first));
            if (rests.get(first).hasNext()) {
                heads.set(first, rests.get(first).next());
            } else {
                heads.remove(first);
                rests.remove(first);
            }
        }
        return merged;
    }
}
