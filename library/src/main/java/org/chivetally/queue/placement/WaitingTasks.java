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
import org.chivetally.queue.share.FairShares;
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
    private static final TaskBacklog EMPTY = new TaskBacklog();

    /** Name of the only line of a service whose queues share nothing. */
    private static final String ALL_QUEUES = "";

    private final boolean fairShares;
    private final Map<String, Map<String, TaskBacklog>> backlogs = new HashMap<>();
    private final NavigableSet<WaitingTask> byReachExpiry = new TreeSet<>(WaitingTask.BY_REACH_EXPIRY);
    private final Map<Task, WaitingTask> waitingTasks = new HashMap<>();

    /** Creates an empty set of tasks whose queues have no shares. */
    public WaitingTasks() {
        this(false);
    }

    /**
     * Creates an empty set.
     *
     * @param byQueue whether queues share room by weight
     */
    public WaitingTasks(boolean fairShares) {
        this.fairShares = fairShares;
    }

    /** Adds a task that may be placed. */
    public void add(Task task, long nowNanos) {
        remove(task);
        CompletionForecast outlook = task.job().completionForecast(nowNanos);
        QueueTerms terms = task.job().specification().terms();
        WaitingTask entry = new WaitingTask(
                task, terms.priority(), outlook.timeliness(), outlook.validUntilNanos(), hasStarted(task.job()));
        waitingTasks.put(task, entry);
        byReachExpiry.add(entry);
        backlogs.computeIfAbsent(terms.service(), name -> new TreeMap<>())
                .computeIfAbsent(backlogName(terms), name -> new TaskBacklog())
                .add(entry);
    }

    private String backlogName(QueueTerms terms) {
        return fairShares ? terms.queue() : ALL_QUEUES;
    }

    /** Removes a task; nothing happens when it doesn't wait. */
    public void remove(Task task) {
        WaitingTask entry = waitingTasks.remove(task);
        if (entry == null) {
            return;
        }
        byReachExpiry.remove(entry);
        QueueTerms terms = task.job().specification().terms();
        Map<String, TaskBacklog> ofService = backlogs.get(terms.service());
        TaskBacklog backlog = ofService.get(backlogName(terms));
        backlog.remove(entry);
        if (backlog.isEmpty()) {
            ofService.remove(backlogName(terms));
            if (ofService.isEmpty()) {
                backlogs.remove(terms.service());
            }
        }
    }

    /**
     * Puts the waiting tasks of a job where its phase says: before those of jobs that have not begun, or among them
     * again when all its starts were turned down.
     */
    public void reorder(Job job, long nowNanos) {
        if (!fairShares) {
            return;
        }
        for (Task task : job.tasksIn(Task.Status.WAITING)) {
            WaitingTask entry = waitingTasks.get(task);
            if (entry != null && entry.jobStarted() != hasStarted(job)) {
                add(task, nowNanos);
            }
        }
    }

    private boolean hasStarted(Job job) {
        return fairShares && job.phase() == JobPhase.RUNNING;
    }

    /** Moves the tasks whose jobs can reach less than when they were added; tells whether there were any. */
    public boolean refresh(long nowNanos) {
        boolean moved = false;
        while (!byReachExpiry.isEmpty() && byReachExpiry.first().reachUntilNanos() < nowNanos) {
            add(byReachExpiry.first().task(), nowNanos);
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
    public List<Job> unservableJobs(String service, long spareMillicores, long nowNanos) {
        return unservableJobs(inOrder(service), spareMillicores, nowNanos);
    }

    private static List<Job> unservableJobs(Collection<WaitingTask> inOrder, long spareMillicores, long nowNanos) {
        Set<Job> jobs = new LinkedHashSet<>();
        long work = 0;
        for (WaitingTask entry : inOrder) {
            Job job = entry.task().job();
            long waitNanos = spareMillicores <= 0 ? Long.MAX_VALUE : 1_000_000_000L * work / spareMillicores;
            boolean overtaken = entry.reach() == CompletionForecast.Timeliness.LATE
                    && entry.reachUntilNanos() - nowNanos < waitNanos;
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
        return List.copyOf(backlogs.keySet());
    }

    /** Returns the first tasks of a service, in order. */
    public List<Task> first(String service, int maximumTasks) {
        List<Task> tasks = new ArrayList<>();
        for (WaitingTask entry : inOrder(service)) {
            if (tasks.size() == maximumTasks) {
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
    public FairShareOrder fairShareOrder(String service, FairShares shares, QueueLoads ownLoads, int maximumTasks) {
        return new FairShareOrder(backlogs(service), shares, ownLoads, maximumTasks);
    }

    /** Adds what the waiting tasks need to a tally for each service. */
    public void addWaitingTo(Map<String, QueueLoads> byService) {
        for (Map.Entry<String, Map<String, TaskBacklog>> service : backlogs.entrySet()) {
            QueueLoads loads = byService.computeIfAbsent(service.getKey(), name -> new QueueLoads());
            for (Map.Entry<String, TaskBacklog> backlog : service.getValue().entrySet()) {
                loads.add(backlog.getKey(), 0, backlog.getValue().waitingMillicores());
            }
        }
    }

    /** Returns the mean processors, in thousandths, of the waiting tasks of the queue with the smallest; 0 for none. */
    public long smallestMeanMillicores(String service) {
        long smallest = 0;
        for (TaskBacklog backlog : backlogs(service).values()) {
            long mean = backlog.waitingMillicores() / backlog.size();
            smallest = smallest == 0 ? mean : Math.min(smallest, mean);
        }
        return smallest;
    }

    /** Returns the number of waiting tasks. */
    public int size() {
        return waitingTasks.size();
    }

    /** Tells whether nothing waits. */
    public boolean isEmpty() {
        return waitingTasks.isEmpty();
    }

    /** Returns the estimated processor milliseconds that are placed before a new job of the given priority. */
    public long workAhead(String service, int priority) {
        long work = 0;
        for (TaskBacklog backlog : backlogs(service).values()) {
            work += backlog.inTimeWork(priority);
        }
        return work;
    }

    /** Returns the processors, in thousandths, that all waiting tasks of a service need. */
    public long waitingMillicores(String service) {
        long sum = 0;
        for (TaskBacklog backlog : backlogs(service).values()) {
            sum += backlog.waitingMillicores();
        }
        return sum;
    }

    /** Returns the estimated processor milliseconds of all waiting tasks of a service. */
    public long work(String service) {
        long work = 0;
        for (TaskBacklog backlog : backlogs(service).values()) {
            work += backlog.work();
        }
        return work;
    }

    /** Returns the estimated processor milliseconds of a queue that are placed before a new job of it. */
    public long workAhead(String service, String queue, int priority) {
        return backlog(service, queue).inTimeWork(priority);
    }

    /** Returns the estimated processor milliseconds of all waiting tasks of a queue. */
    public long work(String service, String queue) {
        return backlog(service, queue).work();
    }

    private TaskBacklog backlog(String service, String queue) {
        return backlogs(service).getOrDefault(queue, EMPTY);
    }

    private Map<String, TaskBacklog> backlogs(String service) {
        return backlogs.getOrDefault(service, Map.of());
    }

    private Collection<WaitingTask> inOrder(String service) {
        Map<String, TaskBacklog> ofService = backlogs(service);
        if (ofService.size() <= 1) {
            return ofService.isEmpty()
                    ? EMPTY.inOrder()
                    : ofService.values().iterator().next().inOrder();
        }
        return merge(ofService.values());
    }

    /** Merges lines that are each in order, which costs less than to sort them anew. */
    private static List<WaitingTask> merge(Collection<TaskBacklog> backlogs) {
        List<WaitingTask> merged = new ArrayList<>();
        List<Iterator<WaitingTask>> remaining = new ArrayList<>();
        List<WaitingTask> heads = new ArrayList<>();
        for (TaskBacklog backlog : backlogs) {
            Iterator<WaitingTask> iterator = backlog.inOrder().iterator();
            remaining.add(iterator);
            heads.add(iterator.next());
        }
        while (!heads.isEmpty()) {
            int first = 0;
            for (int index = 1; index < heads.size(); index++) {
                first = WaitingTask.ORDER.compare(heads.get(index), heads.get(first)) < 0 ? index : first;
            }
            merged.add(heads.get(first));
            if (remaining.get(first).hasNext()) {
                heads.set(first, remaining.get(first).next());
            } else {
                heads.remove(first);
                remaining.remove(first);
            }
        }
        return merged;
    }
}
