package org.chivetally.queue.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chivetally.queue.QueueTerms;
import org.chivetally.queue.Room;
import org.chivetally.queue.Task;
import org.chivetally.queue.TaskKey;
import org.chivetally.queue.share.QueueLoads;
import org.chivetally.queue.speed.LearnedStretch;

/** The state of a worker as known to one owner: the last report of its agent, and the owner's own starts since then. */
public final class Worker {
    private final String process;
    private final Map<TaskKey, SentStart> startsInProgress = new LinkedHashMap<>();
    private final Set<TaskKey> sentSuspects = new LinkedHashSet<>();
    private final Set<TaskKey> overdueTasks = new LinkedHashSet<>();
    private final WorkerHealth health = new WorkerHealth();
    private Report lastReport = Report.NONE;
    private LearnedStretch learnedStretch = LearnedStretch.UNKNOWN;
    private WorkerSpeed speed = WorkerSpeed.UNKNOWN;
    private Object link;
    private Room unacknowledgedRoom = Room.NONE;
    private long lastStartNumber;
    private long lastReportAtNanos;
    private long lastStartAtNanos;
    private long pausedUntilNanos;
    private int reportedSuspectRuns;

    /**
     * Creates a worker without a report or a link.
     *
     * @param process name of the agent's process
     * @param nowNanos the time, by the monotonic clock
     */
    public Worker(String process, long nowNanos) {
        this.process = process;
        this.lastReportAtNanos = nowNanos;
        this.lastStartAtNanos = nowNanos;
        this.pausedUntilNanos = nowNanos;
    }

    /**
     * Report of an agent about its worker.
     *
     * @param minion name of the incarnation of the worker's minion; empty while there is none
     * @param service service of the minion
     * @param capacity total room of the worker
     * @param free capacity less the room of all runs
     * @param accepting whether the worker accepts starts
     * @param labels kind and rack of the worker
     * @param failureDomain failure domain of the worker
     * @param startsSeen number of the owner's latest start that the report takes into account
     */
    public record Report(
            String minion,
            String service,
            Room capacity,
            Room free,
            boolean accepting,
            List<String> labels,
            String failureDomain,
            long startsSeen) {
        /** No report yet. */
        public static final Report NONE = new Report("", "", Room.NONE, Room.NONE, false, List.of(), "", 0);

        /** Copies the labels. */
        public Report {
            labels = List.copyOf(labels);
        }
    }

    /**
     * A start that was sent to the agent.
     *
     * @param task the task
     * @param run number of the run
     * @param link the link on which the start was sent
     * @param number number of the start on that link, from 1; 0 for an adopted run
     * @param atNanos when it was sent, by the monotonic clock
     * @param expectedMillis expected duration in milliseconds on a worker of stretch 1; 0 without an estimate
     */
    public record SentStart(Task task, long run, Object link, long number, long atNanos, double expectedMillis) {
        /**
         * A run is overdue after this multiple of its expected duration. Estimates are off by 40% (standard deviation),
         * so a run hardly ever lasts this long by chance.
         */
        private static final int OVERDUE_FACTOR = 3;

        /** Allowance for the transmission of start and end, in milliseconds. */
        private static final int OVERDUE_MARGIN_MILLIS = 80;

        /**
         * Tells whether the run lasts far longer than expected; always false without an estimate.
         *
         * @param nowNanos the time, by the monotonic clock
         * @param stretch ratio of actual to estimated durations that is usual for the worker's kind
         */
        public boolean isOverdue(long nowNanos, double stretch) {
            double expected = expectedMillis * stretch;
            long ageMillis = (nowNanos - atNanos) / 1_000_000;
            return expected > 0 && ageMillis > OVERDUE_FACTOR * expected + OVERDUE_MARGIN_MILLIS;
        }
    }

    /** Returns the name of the agent's process. */
    public String process() {
        return process;
    }

    /** Returns the last report of the agent. */
    public Report lastReport() {
        return lastReport;
    }

    /** Returns the kind of the worker; empty when it has none. */
    String kind() {
        return lastReport.labels().isEmpty() ? "" : lastReport.labels().getFirst();
    }

    /** Records the stretch that the agent reports for its worker. */
    public void learnedStretch(LearnedStretch reported) {
        learnedStretch = reported;
    }

    /** Returns the stretch that the agent last reported for its worker. */
    LearnedStretch learnedStretch() {
        return learnedStretch;
    }

    /** Returns the speed of the worker relative to the others. */
    WorkerSpeed speed() {
        return speed;
    }

    /** Sets the speed of the worker relative to the others. */
    void speed(WorkerSpeed next) {
        speed = next;
    }

    /** Returns the ratio of actual to estimated durations of the worker's runs; 1 while it is unknown. */
    public double stretch() {
        return speed.stretch();
    }

    /** Returns the millicores used here by this owner's runs that have an estimate. */
    double estimatedRunMillicores() {
        double millicores = 0;
        for (SentStart start : startsInProgress.values()) {
            millicores += start.expectedMillis() > 0 ? start.task().room().processorMillis() : 0;
        }
        return millicores;
    }

    /** Returns the millicores that these runs free per millisecond. */
    double releaseRate() {
        double rate = 0;
        for (SentStart start : startsInProgress.values()) {
            double millis = start.expectedMillis() * speed.stretch();
            rate += millis > 0 ? start.task().room().processorMillis() / millis : 0;
        }
        return rate;
    }

    /** Returns the health of the worker, as determined from the ends of its runs. */
    public WorkerHealth health() {
        return health;
    }

    /** Returns when the agent last reported, by the monotonic clock. */
    public long lastReportAtNanos() {
        return lastReportAtNanos;
    }

    /**
     * Returns the time since the agent last reported or was last sent a start, in nanoseconds. A start counts because
     * it confirms to the agent that this owner was active when it was sent: from then on the agent keeps all runs of
     * this owner.
     */
    public long nanosSinceContact(long nowNanos) {
        return nowNanos - Math.max(lastReportAtNanos, lastStartAtNanos);
    }

    /** Tells whether there is a link to the agent. */
    public boolean isLinked() {
        return link != null;
    }

    /** Records a new link. Starts on it are numbered from 1. */
    public void linkOpened(Object newLink) {
        link = newLink;
        lastStartNumber = 0;
        unacknowledgedRoom = Room.NONE;
        reportedSuspectRuns = 0;
        lastReport = Report.NONE;
    }

    /** Records that the link was closed. */
    public void linkClosed() {
        link = null;
        unacknowledgedRoom = Room.NONE;
        reportedSuspectRuns = 0;
        lastReport = Report.NONE;
    }

    /**
     * Records a report of the agent.
     *
     * @param nowNanos the time, by the monotonic clock
     */
    public void recordReport(Report report, long nowNanos) {
        lastReportAtNanos = nowNanos;
        lastReport = report;
        unacknowledgedRoom = Room.NONE;
        for (SentStart start : startsInProgress.values()) {
            if (isUnacknowledged(start)) {
                unacknowledgedRoom = unacknowledgedRoom.plus(start.task().room());
            }
        }
    }

    /** Records how many runs of suspects the agent holds, for all owners together. */
    public void recordSuspectRuns(int runs) {
        reportedSuspectRuns = runs;
    }

    /** Records that a start that was sent belongs to a suspect. */
    public void addSuspect(TaskKey task) {
        sentSuspects.add(task);
    }

    /** Tells whether a suspect runs here or has been sent here. */
    public boolean holdsSuspect() {
        return reportedSuspectRuns > 0 || !sentSuspects.isEmpty();
    }

    /** Tells whether the agent's last report may not take the start into account yet. */
    public boolean isUnacknowledged(SentStart start) {
        return start.link() == link && start.number() > lastReport.startsSeen();
    }

    /** Returns the free room of the last report less the room of this owner's unacknowledged starts. */
    public Room freeRoom() {
        return lastReport.free().minus(unacknowledgedRoom);
    }

    /**
     * Tells whether this owner's unacknowledged starts and one more would exceed a share of the free room of the last
     * report. A single start never does.
     */
    boolean exceedsShare(Room next, double share) {
        long unacknowledgedMillicores = unacknowledgedRoom.processorMillis();
        return unacknowledgedMillicores > 0
                && unacknowledgedMillicores + next.processorMillis()
                        > share * lastReport.free().processorMillis();
    }

    /**
     * Sends no starts until the given time, because the agent has refused one for a reason that persists for a while.
     *
     * @param untilNanos end of the pause, by the monotonic clock
     */
    public void pauseStarts(long untilNanos) {
        pausedUntilNanos = untilNanos;
    }

    /** Tells whether a start may be sent to the worker now. */
    public boolean acceptsStarts(long nowNanos) {
        return link != null && lastReport.accepting() && nowNanos - pausedUntilNanos >= 0;
    }

    /**
     * Records a start that is being sent, with the caller's estimate as its expected duration.
     *
     * @param nowNanos the time, by the monotonic clock
     * @return the start with its number
     */
    public SentStart send(Task task, long run, long nowNanos) {
        return send(task, run, nowNanos, task.step().estimatedMillis());
    }

    /**
     * Records a start that is being sent.
     *
     * @param nowNanos the time, by the monotonic clock
     * @param expectedMillis expected duration in milliseconds on a worker of stretch 1; 0 without an estimate
     * @return the start with its number
     */
    public SentStart send(Task task, long run, long nowNanos, double expectedMillis) {
        lastStartNumber++;
        lastStartAtNanos = nowNanos;
        SentStart start = new SentStart(task, run, link, lastStartNumber, nowNanos, expectedMillis);
        startsInProgress.put(task.key(), start);
        unacknowledgedRoom = unacknowledgedRoom.plus(task.room());
        return start;
    }

    /**
     * Records a run that the agent holds and that another owner has started.
     *
     * @param nowNanos the time, by the monotonic clock
     */
    public void adopt(Task task, long run, long nowNanos) {
        startsInProgress.put(
                task.key(),
                new SentStart(task, run, link, 0, nowNanos, task.step().estimatedMillis()));
    }

    /** Returns the start of the given task if it is in progress here. */
    public Optional<SentStart> inProgress(TaskKey task) {
        return Optional.ofNullable(startsInProgress.get(task));
    }

    /** Tells whether any run is in progress here. */
    public boolean hasRuns() {
        return !startsInProgress.isEmpty();
    }

    /** Returns all starts in progress here. */
    public Collection<SentStart> inProgress() {
        return List.copyOf(startsInProgress.values());
    }

    /** Adds the processors that this owner's runs use here to the loads of each service. */
    public void addRunsTo(Map<String, QueueLoads> byService) {
        for (SentStart start : startsInProgress.values()) {
            QueueTerms terms = start.task().job().specification().terms();
            QueueLoads loads = byService.get(terms.service());
            if (loads == null) {
                loads = new QueueLoads();
                byService.put(terms.service(), loads);
            }
            loads.add(terms.queue(), start.task().room().processorMillis(), 0);
        }
    }

    /** Tells whether a run is in progress here that is not overdue. */
    public boolean hasRunsNotOverdue() {
        return startsInProgress.size() > overdueTasks.size();
    }

    /**
     * Finds and marks the runs that have become overdue since the last call.
     *
     * @param nowNanos the time, by the monotonic clock
     * @return the newly overdue runs
     */
    public List<SentStart> markNewlyOverdue(long nowNanos) {
        List<SentStart> newlyOverdue = new ArrayList<>();
        for (SentStart start : startsInProgress.values()) {
            if (isOverdue(start, nowNanos) && overdueTasks.add(start.task().key())) {
                health.recordOverdueRun(nowNanos);
                newlyOverdue.add(start);
            }
        }
        return newlyOverdue;
    }

    private boolean isOverdue(SentStart start, long nowNanos) {
        // By the stretch of the worker's kind: its own stretch would hide that it has become slow.
        return start.isOverdue(nowNanos, speed.kindStretch());
    }

    /** Returns all runs that are marked overdue. */
    public List<SentStart> overdue() {
        List<SentStart> overdue = new ArrayList<>();
        for (TaskKey key : overdueTasks) {
            overdue.add(startsInProgress.get(key));
        }
        return overdue;
    }

    /**
     * Records that a run has completed, in time or overdue.
     *
     * @param nowNanos the time, by the monotonic clock
     */
    public void recordEnd(SentStart start, long nowNanos) {
        if (isOverdue(start, nowNanos)) {
            if (overdueTasks.add(start.task().key())) {
                health.recordOverdueRun(nowNanos);
            }
        } else {
            health.recordInTimeRun(nowNanos);
        }
    }

    /** Records that the run of a task is no longer in progress here. */
    public void remove(TaskKey task) {
        overdueTasks.remove(task);
        sentSuspects.remove(task);
        SentStart start = startsInProgress.remove(task);
        if (start != null && isUnacknowledged(start)) {
            unacknowledgedRoom = unacknowledgedRoom.minus(start.task().room());
        }
    }
}
