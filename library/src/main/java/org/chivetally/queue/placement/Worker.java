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

/** A worker as one owner sees it: what its agent last told, and the owner's own starts on top. */
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
    private long lastNumber;
    private long lastReportAtNanos;
    private long lastStartAtNanos;
    private long pausedUntilNanos;
    private int reportedSuspectRuns;

    /** Creates a worker of which nothing is known yet. */
    public Worker(String process, long nowNanos) {
        this.process = process;
        this.lastReportAtNanos = nowNanos;
        this.lastStartAtNanos = nowNanos;
        this.pausedUntilNanos = nowNanos;
    }

    /**
     * What an agent tells about its worker.
     *
     * @param minion start of its minion; empty while there is none
     * @param service service of the minion
     * @param capacity room of the worker
     * @param free capacity less all that is held
     * @param accepting whether it takes starts
     * @param labels kind and rack
     * @param failureDomain failure domain
     * @param startsSeen number of the newest start that this reflects
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
        /** Nothing known. */
        public static final Report NONE = new Report("", "", Room.NONE, Room.NONE, false, List.of(), "", 0);

        /** Copies the labels. */
        public Report {
            labels = List.copyOf(labels);
        }
    }

    /**
     * A start that was sent.
     *
     * @param task the task
     * @param run number of the run
     * @param link the link it went out on
     * @param number its number on that link
     * @param atNanos when, by the steady clock
     * @param expectedMillis duration to expect in milliseconds, where runs last as estimated; 0 without an estimate
     */
    public record SentStart(Task task, long run, Object link, long number, long atNanos, double expectedMillis) {
        /** Lasting this many times the estimate is no chance: estimates are off by 40% (standard deviation). */
        private static final int OVERDUE_FACTOR = 3;

        /** What start and end may take on top, in milliseconds. */
        private static final int OVERDUE_MARGIN_MILLIS = 80;

        /**
         * Tells whether the run lasts far longer than expected; never so without an estimate.
         *
         * @param stretch duration over estimate that is usual for the kind of worker
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

    /** Returns what the agent last told. */
    public Report lastReport() {
        return lastReport;
    }

    /** Returns the kind of the worker; empty when it has none. */
    String kind() {
        return lastReport.labels().isEmpty() ? "" : lastReport.labels().getFirst();
    }

    /** Notes what the agent tells about its worker's speed. */
    public void learnedStretch(LearnedStretch reported) {
        learnedStretch = reported;
    }

    /** Returns what the agent last told about its worker's speed. */
    LearnedStretch learnedStretch() {
        return learnedStretch;
    }

    /** Returns how fast the worker is among the others. */
    WorkerSpeed speed() {
        return speed;
    }

    /** Notes how fast the worker is among the others. */
    void speed(WorkerSpeed next) {
        speed = next;
    }

    /** Returns the duration of its runs over their estimates, as far as learned. */
    public double stretch() {
        return speed.stretch();
    }

    /** Returns the processors, in thousandths, of this owner's runs here that have an estimate. */
    double estimatedRunMillicores() {
        double millicores = 0;
        for (SentStart start : startsInProgress.values()) {
            millicores += start.expectedMillis() > 0 ? start.task().room().processorMillis() : 0;
        }
        return millicores;
    }

    /** Returns the processors, in thousandths, that these runs free in a millisecond. */
    double releaseRate() {
        double rate = 0;
        for (SentStart start : startsInProgress.values()) {
            double millis = start.expectedMillis() * speed.stretch();
            rate += millis > 0 ? start.task().room().processorMillis() / millis : 0;
        }
        return rate;
    }

    /** Returns how its runs end. */
    public WorkerHealth health() {
        return health;
    }

    /** Returns when the agent was last heard, by the steady clock. */
    public long lastReportAtNanos() {
        return lastReportAtNanos;
    }

    /**
     * Returns the time since the agent was last heard or last sent a start. A start tells the agent that this owner
     * relied on it when the start was sent, and the agent keeps all of this owner's runs going from then on.
     */
    public long nanosSinceContact(long nowNanos) {
        return nowNanos - Math.max(lastReportAtNanos, lastStartAtNanos);
    }

    /** Tells whether there is a link to the agent. */
    public boolean isLinked() {
        return link != null;
    }

    /** Notes a new link; starts on it are numbered from 1. */
    public void linkOpened(Object newLink) {
        link = newLink;
        lastNumber = 0;
        unacknowledgedRoom = Room.NONE;
        reportedSuspectRuns = 0;
        lastReport = Report.NONE;
    }

    /** Notes that the link is gone. */
    public void linkClosed() {
        link = null;
        unacknowledgedRoom = Room.NONE;
        reportedSuspectRuns = 0;
        lastReport = Report.NONE;
    }

    /** Notes a report. */
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

    /** Notes how many runs of suspects the agent holds, for whichever entry. */
    public void recordSuspectRuns(int runs) {
        reportedSuspectRuns = runs;
    }

    /** Notes that a start that was sent is one of a suspect. */
    public void addSuspect(TaskKey task) {
        sentSuspects.add(task);
    }

    /** Tells whether a suspect runs here or is on its way. */
    public boolean holdsSuspect() {
        return reportedSuspectRuns > 0 || !sentSuspects.isEmpty();
    }

    /** Tells whether the agent may not have had a start yet when it last reported. */
    public boolean isUnacknowledged(SentStart start) {
        return start.link() == link && start.number() > lastReport.startsSeen();
    }

    /** Returns the room that is free as far as known, with the owner's starts on their way taken off. */
    public Room freeRoom() {
        return lastReport.free().minus(unacknowledgedRoom);
    }

    /**
     * Tells whether this owner's starts on their way and one more would take over a part of the room that the agent
     * last told. One start is never over it.
     */
    boolean exceedsShare(Room next, double share) {
        long unacknowledgedMillicores = unacknowledgedRoom.processorMillis();
        return unacknowledgedMillicores > 0
                && unacknowledgedMillicores + next.processorMillis()
                        > share * lastReport.free().processorMillis();
    }

    /** Takes no starts until a moment, after the agent has refused one for a reason that takes time to go. */
    public void pauseStarts(long untilNanos) {
        pausedUntilNanos = untilNanos;
    }

    /** Tells whether a start may be sent now. */
    public boolean acceptsStarts(long nowNanos) {
        return link != null && lastReport.accepting() && nowNanos - pausedUntilNanos >= 0;
    }

    /** Notes that a start goes out; returns it with its number. */
    public SentStart send(Task task, long run, long nowNanos) {
        return send(task, run, nowNanos, task.step().estimatedMillis());
    }

    /**
     * Notes that a start goes out; returns it with its number.
     *
     * @param expectedMillis duration to expect in milliseconds, where runs last as estimated; 0 without an estimate
     */
    public SentStart send(Task task, long run, long nowNanos, double expectedMillis) {
        lastNumber++;
        lastStartAtNanos = nowNanos;
        SentStart start = new SentStart(task, run, link, lastNumber, nowNanos, expectedMillis);
        startsInProgress.put(task.key(), start);
        unacknowledgedRoom = unacknowledgedRoom.plus(task.room());
        return start;
    }

    /** Notes a run that the agent holds and that somebody else sent. */
    public void adopt(Task task, long run, long nowNanos) {
        startsInProgress.put(
                task.key(),
                new SentStart(task, run, link, 0, nowNanos, task.step().estimatedMillis()));
    }

    /** Returns the start of a task that is in progress here. */
    public Optional<SentStart> inProgress(TaskKey task) {
        return Optional.ofNullable(startsInProgress.get(task));
    }

    /** Tells whether any start is in progress here. */
    public boolean hasRuns() {
        return !startsInProgress.isEmpty();
    }

    /** Returns all starts in progress here. */
    public Collection<SentStart> inProgress() {
        return List.copyOf(startsInProgress.values());
    }

    /** Adds what this owner's runs here hold to a tally for each service. */
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

    /** Tells whether a run is in progress here that may still end in time. */
    public boolean hasRunsNotOverdue() {
        return startsInProgress.size() > overdueTasks.size();
    }

    /** Returns the runs that have become overdue since the last look, and notes them. */
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
        // By its kind, not by the worker itself: one that has become slow is to be found out.
        return start.isOverdue(nowNanos, speed.kindStretch());
    }

    /** Returns all runs that are overdue. */
    public List<SentStart> overdue() {
        List<SentStart> overdue = new ArrayList<>();
        for (TaskKey key : overdueTasks) {
            overdue.add(startsInProgress.get(key));
        }
        return overdue;
    }

    /** Notes that a run ended by itself. */
    public void recordEnd(SentStart start, long nowNanos) {
        if (isOverdue(start, nowNanos)) {
            if (overdueTasks.add(start.task().key())) {
                health.recordOverdueRun(nowNanos);
            }
        } else {
            health.recordInTimeRun(nowNanos);
        }
    }

    /** Notes that a start is no longer in progress here. */
    public void remove(TaskKey task) {
        overdueTasks.remove(task);
        sentSuspects.remove(task);
        SentStart start = startsInProgress.remove(task);
        if (start != null && isUnacknowledged(start)) {
            unacknowledgedRoom = unacknowledgedRoom.minus(start.task().room());
        }
    }
}
