package org.chivetally.queue.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.chivetally.queue.Job;
import org.chivetally.queue.JobPhase;
import org.chivetally.queue.Task;
import org.chivetally.queue.crash.CrashTracker;
import org.chivetally.queue.placement.FairShareOrder;
import org.chivetally.queue.placement.PlacementDecision;
import org.chivetally.queue.placement.PlacementPolicy;
import org.chivetally.queue.placement.WaitingTasks;
import org.chivetally.queue.placement.Worker;
import org.chivetally.queue.share.QueueLoads;
import org.chivetally.time.Timers;

/** Places the entry's waiting tasks, in passes over all that may be placed at a moment. */
final class PlacementPasses {
    /** Waiting tasks looked at in one pass; the first that don't fit hardly ever hide one that does behind so many. */
    static final int TASKS_PER_PASS = 64;

    /** Waiting tasks without a fitting worker after which a pass ends. */
    static final int MISSES_PER_PASS = 8;

    /**
     * Least time between two passes while tasks wait for room. Under a backlog dozens of agents report almost every
     * millisecond, and without the pause each report would begin a pass over all of them. It is small beside the 60 ms
     * that callers allow beyond the work.
     */
    static final Duration PASS_INTERVAL = Duration.ofMillis(5);

    private final Timers timers;
    private final WaitingTasks waiting;
    private final Collection<Worker> workers;
    private final PlacementPolicy placement;
    private final CrashTracker crashes;
    private final ServiceShares shares;
    private final Optional<QueueShares> queueShares;
    private final RunStarter starter;
    private boolean scheduled;
    private OptionalLong unplacedAtNanos = OptionalLong.empty();

    /**
     * Creates the passes of an entry.
     *
     * @param waiting the entry's waiting tasks, kept up by the entry
     * @param workers all workers that it knows, kept up by the entry
     * @param queueShares how queues share the workers; empty unless that is switched on
     */
    PlacementPasses(
            Timers timers,
            WaitingTasks waiting,
            Collection<Worker> workers,
            PlacementPolicy placement,
            CrashTracker crashes,
            ServiceShares shares,
            Optional<QueueShares> queueShares,
            RunStarter starter) {
        this.timers = timers;
        this.waiting = waiting;
        this.workers = workers;
        this.placement = placement;
        this.crashes = crashes;
        this.shares = shares;
        this.queueShares = queueShares;
        this.starter = starter;
    }

    /** What a pass asks of the entry around it. */
    interface RunStarter {
        /** Tells whether the entry is sure enough of its ownership to start anything. */
        boolean mayStart();

        /** Starts a task on a worker; tells by {@code bySpeed} whether the worker was chosen by its speed. */
        void start(Worker worker, Task task, boolean bySpeed);

        /** Some waiting jobs can reach less than before. */
        void forecastsChanged(long nowNanos);
    }

    /** Has the waiting tasks placed soon, if there are any. */
    void schedule() {
        if (!scheduled && !waiting.isEmpty()) {
            scheduled = true;
            timers.after(delayBeforePass(), this::pass);
        }
    }

    /** Returns the rest of the pause after a pass that left tasks waiting; none if it left nothing. */
    private Duration delayBeforePass() {
        if (unplacedAtNanos.isEmpty()) {
            return Duration.ZERO;
        }
        long sinceNanos = timers.nanos() - unplacedAtNanos.getAsLong();
        return Duration.ofNanos(Math.max(0, PASS_INTERVAL.toNanos() - sinceNanos));
    }

    private void pass() {
        scheduled = false;
        if (!starter.mayStart()) {
            return;
        }
        long now = timers.nanos();
        if (waiting.refresh(now)) {
            starter.forecastsChanged(now);
        }
        place(now);
        unplacedAtNanos = waiting.isEmpty() ? OptionalLong.empty() : OptionalLong.of(now);
    }

    private void place(long now) {
        PlacementPolicy.Pass choices = placement.newPass(workers, now);
        Map<String, QueueLoads> own =
                queueShares.isPresent() ? queueShares.get().ownLoads() : Map.of();
        for (String service : waiting.services()) {
            double part = shares.of(service).backlogShare();
            boolean contended = PlacementPolicy.isContended(choices, service, waiting.waitingMillicores(service), part);
            double bound = contended ? part : 1;
            if (queueShares.isPresent()) {
                placeByShares(
                        choices,
                        queueShares.get().turns(service, own.get(service), TASKS_PER_PASS + crashes.suspects()),
                        bound,
                        part,
                        now);
            } else {
                placeInOrder(choices, service, bound, part);
            }
        }
    }

    private void placeInOrder(PlacementPolicy.Pass choices, String service, double bound, double part) {
        int misses = 0;
        // Suspects that wait for a worker of their own don't keep those behind them waiting.
        for (Task task : waiting.first(service, TASKS_PER_PASS + crashes.suspects())) {
            PlacementDecision choice = choices.decide(task, bound, part);
            if (choice.worker().isPresent()) {
                starter.start(choice.worker().get(), task, choice.bySpeed());
            } else if (!choice.deferred() && !crashes.isSuspect(task) && ++misses >= MISSES_PER_PASS) {
                break;
            }
        }
    }

    private void placeByShares(
            PlacementPolicy.Pass choices, FairShareOrder turns, double bound, double part, long now) {
        List<Job> startedJobs = new ArrayList<>();
        for (Optional<Task> turn = turns.next(); turn.isPresent(); turn = turns.next()) {
            Task task = turn.get();
            PlacementDecision choice = choices.decide(task, bound, part);
            if (choice.worker().isPresent()) {
                if (task.job().phase() == JobPhase.QUEUED) {
                    startedJobs.add(task.job());
                }
                starter.start(choice.worker().get(), task, choice.bySpeed());
                turns.taskPlaced();
            } else if (choice.deferred() || crashes.isSuspect(task)) {
                turns.taskDeferred();
            } else {
                turns.noWorkerFound();
            }
        }
        for (Job job : startedJobs) {
            waiting.reorder(job, now);
        }
    }
}
