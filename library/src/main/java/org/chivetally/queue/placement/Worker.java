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
    private final Map<TaskKey, Sent> sent = new LinkedHashMap<>();
    private final Set<TaskKey> suspects = new LinkedHashSet<>();
    private final Set<TaskKey> overdue = new LinkedHashSet<>();
    private final WorkerHealth health = new WorkerHealth();
    private View view = View.NONE;
    private LearnedStretch learned = LearnedStretch.UNKNOWN;
    private WorkerSpeed speed = WorkerSpeed.UNKNOWN;
    private Object link;
    private Room pending = Room.NONE;
    private long numbers;
    private long heardAtNanos;
    private long startedAtNanos;
    private long pausedUntilNanos;
    private int suspectedRuns;

    /** Creates a worker of which nothing is known yet. */
    public Worker(String process, long nowNanos) {
        this.process = process;
        this.heardAtNanos = nowNanos;
        this.startedAtNanos = nowNanos;
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
    public record View(
            String minion,
            String service,
            Room capacity,
            Room free,
            boolean accepting,
            List<String> labels,
            String failureDomain,
            long startsSeen) {
        /** Nothing known. */
        public static final View NONE = new View("", "", Room.NONE, Room.NONE, false, List.of(), "", 0);

        /** Copies the labels. */
        public View {
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
    public record Sent(Task task, long run, Object link, long number, long atNanos, double expectedMillis) {
        /** Lasting this many times the estimate is no chance: estimates are off by 40% (standard deviation). */
        private static final int OVERDUE_ESTIMATES = 3;

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
            return expected > 0 && ageMillis > OVERDUE_ESTIMATES * expected + OVERDUE_MARGIN_MILLIS;
        }
    }

    /** Returns the name of the agent's process. */
    public String process() {
        return process;
    }

    /** Returns what the agent last told. */
    public View view() {
        return view;
    }

    /** Returns the kind of the worker; empty when it has none. */
    String kind() {
        return view.labels().isEmpty() ? "" : view.labels().getFirst();
    }

    /** Notes what the agent tells about its worker's speed. */
    public void learned(LearnedStretch told) {
        learned = told;
    }

    /** Returns what the agent last told about its worker's speed. */
    LearnedStretch learned() {
        return learned;
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
    double sentRoomMillis() {
        double room = 0;
        for (Sent start : sent.values()) {
            room += start.expectedMillis() > 0 ? start.task().room().processorMillis() : 0;
        }
        return room;
    }

    /** Returns the processors, in thousandths, that these runs free in a millisecond. */
    double sentReleaseRate() {
        double rate = 0;
        for (Sent start : sent.values()) {
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
    public long heardAtNanos() {
        return heardAtNanos;
    }

    /**
     * Returns the time since the agent was last heard or last sent a start. A start tells the agent that this owner
     * relied on it when the start was sent, and the agent keeps all of this owner's runs going from then on.
     */
    public long silentNanos(long nowNanos) {
        return nowNanos - Math.max(heardAtNanos, startedAtNanos);
    }

    /** Tells whether there is a link to the agent. */
    public boolean isLinked() {
        return link != null;
    }

    /** Notes a new link; starts on it are numbered from 1. */
    public void linked(Object newLink) {
        link = newLink;
        numbers = 0;
        pending = Room.NONE;
        suspectedRuns = 0;
        view = View.NONE;
    }

    /** Notes that the link is gone. */
    public void unlinked() {
        link = null;
        pending = Room.NONE;
        suspectedRuns = 0;
        view = View.NONE;
    }

    /** Notes a report. */
    public void report(View report, long nowNanos) {
        heardAtNanos = nowNanos;
        view = report;
        pending = Room.NONE;
        for (Sent start : sent.values()) {
            if (isUnseen(start)) {
                pending = pending.plus(start.task().room());
            }
        }
    }

    /** Notes how many runs of suspects the agent holds, for whichever entry. */
    public void reportSuspects(int runs) {
        suspectedRuns = runs;
    }

    /** Notes that a start that was sent is one of a suspect. */
    public void sentSuspect(TaskKey task) {
        suspects.add(task);
    }

    /** Tells whether a suspect runs here or is on its way. */
    public boolean holdsSuspect() {
        return suspectedRuns > 0 || !suspects.isEmpty();
    }

    /** Tells whether the agent may not have had a start yet when it last reported. */
    public boolean isUnseen(Sent start) {
        return start.link() == link && start.number() > view.startsSeen();
    }

    /** Returns the room that is free as far as known, with the owner's starts on their way taken off. */
    public Room free() {
        return view.free().minus(pending);
    }

    /**
     * Tells whether this owner's starts on their way and one more would take over a part of the room that the agent
     * last told. One start is never over it.
     */
    boolean isOverPart(Room next, double part) {
        long onTheirWay = pending.processorMillis();
        return onTheirWay > 0
                && onTheirWay + next.processorMillis() > part * view.free().processorMillis();
    }

    /** Takes no starts until a moment, after the agent has refused one for a reason that takes time to go. */
    public void pause(long untilNanos) {
        pausedUntilNanos = untilNanos;
    }

    /** Tells whether a start may be sent now. */
    public boolean isOpen(long nowNanos) {
        return link != null && view.accepting() && nowNanos - pausedUntilNanos >= 0;
    }

    /** Notes that a start goes out; returns it with its number. */
    public Sent send(Task task, long run, long nowNanos) {
        return send(task, run, nowNanos, task.step().estimatedMillis());
    }

    /**
     * Notes that a start goes out; returns it with its number.
     *
     * @param expectedMillis duration to expect in milliseconds, where runs last as estimated; 0 without an estimate
     */
    public Sent send(Task task, long run, long nowNanos, double expectedMillis) {
        numbers++;
        startedAtNanos = nowNanos;
        Sent start = new Sent(task, run, link, numbers, nowNanos, expectedMillis);
        sent.put(task.key(), start);
        pending = pending.plus(task.room());
        return start;
    }

    /** Notes a run that the agent holds and that somebody else sent. */
    public void adopt(Task task, long run, long nowNanos) {
        sent.put(task.key(), new Sent(task, run, link, 0, nowNanos, task.step().estimatedMillis()));
    }

    /** Returns the start of a task that is in progress here. */
    public Optional<Sent> sent(TaskKey task) {
        return Optional.ofNullable(sent.get(task));
    }

    /** Tells whether any start is in progress here. */
    public boolean hasRuns() {
        return !sent.isEmpty();
    }

    /** Returns all starts in progress here. */
    public Collection<Sent> sent() {
        return List.copyOf(sent.values());
    }

    /** Adds what this owner's runs here hold to a tally for each service. */
    public void addRunsTo(Map<String, QueueLoads> byService) {
        for (Sent start : sent.values()) {
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
    public boolean isBusy() {
        return sent.size() > overdue.size();
    }

    /** Returns the runs that have become overdue since the last look, and notes them. */
    public List<Sent> newlyOverdue(long nowNanos) {
        List<Sent> late = new ArrayList<>();
        for (Sent start : sent.values()) {
            if (isOverdue(start, nowNanos) && overdue.add(start.task().key())) {
                health.isOverdue(nowNanos);
                late.add(start);
            }
        }
        return late;
    }

    private boolean isOverdue(Sent start, long nowNanos) {
        // By its kind, not by the worker itself: one that has become slow is to be found out.
        return start.isOverdue(nowNanos, speed.kindStretch());
    }

    /** Returns all runs that are overdue. */
    public List<Sent> overdue() {
        List<Sent> late = new ArrayList<>();
        for (TaskKey key : overdue) {
            late.add(sent.get(key));
        }
        return late;
    }

    /** Notes that a run ended by itself. */
    public void ended(Sent start, long nowNanos) {
        if (isOverdue(start, nowNanos)) {
            if (overdue.add(start.task().key())) {
                health.isOverdue(nowNanos);
            }
        } else {
            health.endedInTime(nowNanos);
        }
    }

    /** Notes that a start is no longer in progress here. */
    public void remove(TaskKey task) {
        overdue.remove(task);
        suspects.remove(task);
        Sent start = sent.remove(task);
        if (start != null && isUnseen(start)) {
            pending = pending.minus(start.task().room());
        }
    }
}
