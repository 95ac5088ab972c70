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

/** Places the entry's waiting tasks in passes, each over the tasks that can be placed at that moment. */
final class PlacementPasses {
    /**
     * Waiting tasks that one pass considers. After so many tasks that don't fit, there is hardly ever one that fits.
     */
    static final int TASKS_PER_PASS = 64;

    /** Waiting tasks without a fitting worker after which a pass ends. */
    static final int MISSES_PER_PASS = 8;

    /**
     * Minimum time between two passes while tasks wait for room. Under a backlog dozens of agents report almost every
     * millisecond, and each report would otherwise start a pass over all workers. The delay is small compared with the
     * 60 ms that callers allow beyond the work.
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
     * @param waiting the entry's waiting tasks, updated by the entry
     * @param workers all known workers, updated by the entry
     * @param queueShares the fair shares of queues; empty unless they are enabled
     * @param starter starts the placed tasks
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

    /** Callbacks of a pass into its entry. */
    interface RunStarter {
        /** Returns whether the entry's ownership is certain enough to start tasks. */
        boolean mayStart();

        /**
         * Starts a task on a worker.
         *
         * @param bySpeed whether the worker was chosen by its learned speed
         */
        void start(Worker worker, Task task, boolean bySpeed);

        /**
         * Some waiting jobs can no longer meet their objective or deadline.
         *
         * @param nowNanos the time, in nanoseconds of the monotonic clock
         */
        void forecastsChanged(long nowNanos);
    }

    /** Schedules a pass if tasks are waiting and none is scheduled yet. */
    void schedule() {
        if (!scheduled && !waiting.isEmpty()) {
            scheduled = true;
            timers.after(delayBeforePass(), this::pass);
        }
    }

    /** Returns the rest of {@link #PASS_INTERVAL} after a pass that left tasks waiting; zero if it left none. */
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
        PlacementPolicy.Pass pass = placement.newPass(workers, now);
        Map<String, QueueLoads> own =
                queueShares.isPresent() ? queueShares.get().ownLoads() : Map.of();
        for (String service : waiting.services()) {
            double backlogShare = shares.of(service).backlogShare();
            boolean contended =
                    PlacementPolicy.isContended(pass, service, waiting.waitingMillicores(service), backlogShare);
            double freeShare = contended ? backlogShare : 1;
            if (queueShares.isPresent()) {
                placeByShares(
                        pass,
                        queueShares
                                .get()
                                .placementOrder(service, own.get(service), TASKS_PER_PASS + crashes.suspects()),
                        freeShare,
                        backlogShare,
                        now);
            } else {
                placeInOrder(pass, service, freeShare, backlogShare);
            }
        }
    }

    private void placeInOrder(PlacementPolicy.Pass pass, String service, double freeShare, double backlogShare) {
        int misses = 0;
        // Suspects that wait for a worker without other suspects don't hold back the tasks behind them.
        for (Task task : waiting.first(service, TASKS_PER_PASS + crashes.suspects())) {
            PlacementDecision decision = pass.decide(task, freeShare, backlogShare);
            if (decision.worker().isPresent()) {
                starter.start(decision.worker().get(), task, decision.bySpeed());
            } else if (!decision.deferred() && !crashes.isSuspect(task) && ++misses >= MISSES_PER_PASS) {
                break;
            }
        }
    }

    private void placeByShares(
            PlacementPolicy.Pass pass, FairShareOrder order, double freeShare, double backlogShare, long now) {
        List<Job> startedJobs = new ArrayList<>();
        for (Optional<Task> next = order.next(); next.isPresent(); next = order.next()) {
            Task task = next.get();
            PlacementDecision decision = pass.decide(task, freeShare, backlogShare);
            if (decision.worker().isPresent()) {
                if (task.job().phase() == JobPhase.QUEUED) {
                    startedJobs.add(task.job());
                }
                starter.start(decision.worker().get(), task, decision.bySpeed());
                order.taskPlaced();
            } else if (decision.deferred() || crashes.isSuspect(task)) {
                order.taskDeferred();
            } else {
                order.noWorkerFound();
            }
        }
        for (Job job : startedJobs) {
            waiting.reorder(job, now);
        }
    }
}
