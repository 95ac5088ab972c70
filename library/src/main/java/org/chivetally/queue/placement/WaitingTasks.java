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
 * Tasks that wait for room, by service, in the order in which they are placed: tasks of jobs that can end within their
 * objective, then of jobs that will be late, then of jobs that would end too late. Within each group, tasks are ordered
 * by the priority of the queue and then by the age of the job. Tasks of one job stay together, as a job is worth
 * nothing until its last task has ended.
 *
 * <p>Jobs that will miss their objective come later because of persistent backlogs, as after an outage with little
 * spare capacity. Served strictly by age, every job waits as long as the backlog is deep, and all are a little late:
 * after a loss of power at 95% load, half of the jobs were late for 14 s.
 *
 * <p>With fair shares each queue has an ordered backlog of its own, so that a pass can take tasks of the queues below
 * their shares first without sorting, and tasks of started jobs come before those of jobs that have not started.
 */
public final class WaitingTasks {
    private static final TaskBacklog EMPTY = new TaskBacklog();

    /** Key of the only backlog of a service without fair shares. */
    private static final String ALL_QUEUES = "";

    private final boolean fairShares;
    private final Map<String, Map<String, TaskBacklog>> backlogs = new HashMap<>();
    private final NavigableSet<WaitingTask> byTimelinessExpiry = new TreeSet<>(WaitingTask.BY_TIMELINESS_EXPIRY);
    private final Map<Task, WaitingTask> waitingTasks = new HashMap<>();

    /** Creates an empty set for queues without fair shares. */
    public WaitingTasks() {
        this(false);
    }

    /**
     * Creates an empty set.
     *
     * @param fairShares whether queues share the processors by weight
     */
    public WaitingTasks(boolean fairShares) {
        this.fairShares = fairShares;
    }

    /**
     * Adds a task that may be placed, or updates its place in the order.
     *
     * @param nowNanos the time, by the monotonic clock
     */
    public void add(Task task, long nowNanos) {
        remove(task);
        CompletionForecast forecast = task.job().completionForecast(nowNanos);
        QueueTerms terms = task.job().specification().terms();
        WaitingTask entry = new WaitingTask(
                task, terms.priority(), forecast.timeliness(), forecast.validUntilNanos(), hasStarted(task.job()));
        waitingTasks.put(task, entry);
        byTimelinessExpiry.add(entry);
        backlogs.computeIfAbsent(terms.service(), name -> new TreeMap<>())
                .computeIfAbsent(backlogName(terms), name -> new TaskBacklog())
                .add(entry);
    }

    private String backlogName(QueueTerms terms) {
        return fairShares ? terms.queue() : ALL_QUEUES;
    }

    /** Removes a task. Returns whether it was waiting. */
    public boolean remove(Task task) {
        WaitingTask entry = waitingTasks.remove(task);
        if (entry == null) {
            return false;
        }
        byTimelinessExpiry.remove(entry);
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
        return true;
    }

    /**
     * Updates the place of a job's waiting tasks after a change of its phase: before those of jobs that have not
     * started, or among them again when all starts of the job were refused.
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

    /**
     * Updates the place of the tasks whose jobs can no longer end as early as when they were added.
     *
     * @return whether there were any
     */
    public boolean refresh(long nowNanos) {
        boolean moved = false;
        while (!byTimelinessExpiry.isEmpty() && byTimelinessExpiry.first().timelinessUntilNanos() < nowNanos) {
            add(byTimelinessExpiry.first().task(), nowNanos);
            moved = true;
        }
        return moved;
    }

    /**
     * Returns the jobs to refuse: none of their tasks has started, they will miss their objective, and all processors
     * will go to tasks ahead of them until their end is worth nothing. Refused at once, their callers don't wait in
     * vain.
     *
     * @param spareMillicores processors that newly arriving jobs leave to the backlog
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
            boolean unservable = entry.timeliness() == CompletionForecast.Timeliness.LATE
                    && entry.timelinessUntilNanos() - nowNanos < waitNanos;
            if (unservable && job.phase() == JobPhase.QUEUED) {
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
     * Returns the order of one pass that takes tasks of queues below their shares first.
     *
     * @param shares the shares of the service's queues
     * @param ownLoads loads of the queues at this entry
     * @param maximumTasks number of tasks after which the pass ends
     */
    public FairShareOrder fairShareOrder(String service, FairShares shares, QueueLoads ownLoads, int maximumTasks) {
        return new FairShareOrder(backlogs(service), shares, ownLoads, maximumTasks);
    }

    /** Adds the millicores that the waiting tasks need to the loads of each service. */
    public void addWaitingTo(Map<String, QueueLoads> byService) {
        for (Map.Entry<String, Map<String, TaskBacklog>> service : backlogs.entrySet()) {
            QueueLoads loads = byService.computeIfAbsent(service.getKey(), name -> new QueueLoads());
            for (Map.Entry<String, TaskBacklog> backlog : service.getValue().entrySet()) {
                loads.add(backlog.getKey(), 0, backlog.getValue().waitingMillicores());
            }
        }
    }

    /** Returns the smallest mean of millicores per waiting task of any queue of the service; 0 when nothing waits. */
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

    /** Tells whether there are no waiting tasks. */
    public boolean isEmpty() {
        return waitingTasks.isEmpty();
    }

    /**
     * Returns the estimated core milliseconds of the service that are placed before a new job of the given priority.
     */
    public long workAhead(String service, int priority) {
        long work = 0;
        for (TaskBacklog backlog : backlogs(service).values()) {
            work += backlog.onTimeWork(priority);
        }
        return work;
    }

    /** Returns the millicores that all waiting tasks of a service need. */
    public long waitingMillicores(String service) {
        long sum = 0;
        for (TaskBacklog backlog : backlogs(service).values()) {
            sum += backlog.waitingMillicores();
        }
        return sum;
    }

    /** Returns the estimated core milliseconds of all waiting tasks of a service. */
    public long work(String service) {
        long work = 0;
        for (TaskBacklog backlog : backlogs(service).values()) {
            work += backlog.work();
        }
        return work;
    }

    /** Returns the estimated core milliseconds of a queue that are placed before a new job of that queue. */
    public long workAhead(String service, String queue, int priority) {
        return backlog(service, queue).onTimeWork(priority);
    }

    /** Returns the estimated core milliseconds of all waiting tasks of a queue. */
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

    /** Merges ordered backlogs, which takes less time than sorting all their tasks. */
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
