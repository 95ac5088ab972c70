package org.chivetally.queue.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chivetally.queue.Room;
import org.chivetally.queue.Task;
import org.chivetally.queue.TaskKey;

/** A worker as one owner sees it: what its agent last told, and the owner's own starts on top. */
public final class Worker {
    private final String process;
    private final Map<TaskKey, Sent> sent = new LinkedHashMap<>();
    private final Set<TaskKey> suspects = new LinkedHashSet<>();
    private final Set<TaskKey> overdue = new LinkedHashSet<>();
    private final WorkerHealth health = new WorkerHealth();
    private View view = View.NONE;
    private Object link;
    private Room pending = Room.NONE;
    private long numbers;
    private long heardAtNanos;
    private long pausedUntilNanos;
    private int suspectedRuns;

    /** Creates a worker of which nothing is known yet. */
    public Worker(String process, long nowNanos) {
        this.process = process;
        this.heardAtNanos = nowNanos;
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
     */
    public record Sent(Task task, long run, Object link, long number, long atNanos) {
        /** Lasting this many times the estimate is no chance: estimates are off by 40% (standard deviation). */
        private static final int OVERDUE_ESTIMATES = 3;

        /** What start and end may take on top, in milliseconds. */
        private static final int OVERDUE_MARGIN_MILLIS = 80;

        /** Tells whether the run lasts far longer than estimated; never so without an estimate. */
        public boolean isOverdue(long nowNanos) {
            long estimate = task.step().estimatedMillis();
            long ageMillis = (nowNanos - atNanos) / 1_000_000;
            return estimate > 0 && ageMillis > OVERDUE_ESTIMATES * estimate + OVERDUE_MARGIN_MILLIS;
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

    /** Returns how its runs end. */
    public WorkerHealth health() {
        return health;
    }

    /** Returns when the agent was last heard, by the steady clock. */
    public long heardAtNanos() {
        return heardAtNanos;
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
        numbers++;
        Sent start = new Sent(task, run, link, numbers, nowNanos);
        sent.put(task.key(), start);
        pending = pending.plus(task.room());
        return start;
    }

    /** Notes a run that the agent holds and that somebody else sent. */
    public void adopt(Task task, long run, long nowNanos) {
        sent.put(task.key(), new Sent(task, run, link, 0, nowNanos));
    }

    /** Returns the start of a task that is in progress here. */
    public Optional<Sent> sent(TaskKey task) {
        return Optional.ofNullable(sent.get(task));
    }

    /** Returns all starts in progress here. */
    public Collection<Sent> sent() {
        return List.copyOf(sent.values());
    }

    /** Tells whether a run is in progress here that may still end in time. */
    public boolean isBusy() {
        return sent.size() > overdue.size();
    }

    /** Returns the runs that have become overdue since the last look, and notes them. */
    public List<Sent> newlyOverdue(long nowNanos) {
        List<Sent> late = new ArrayList<>();
        for (Sent start : sent.values()) {
            if (start.isOverdue(nowNanos) && overdue.add(start.task().key())) {
                health.isOverdue(nowNanos);
                late.add(start);
            }
        }
        return late;
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
        if (start.isOverdue(nowNanos)) {
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
