package org.chivetally.queue.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.chivetally.queue.QueueTerms;
import org.chivetally.queue.Room;
import org.chivetally.queue.StepTraits;
import org.chivetally.queue.Task;
import org.chivetally.queue.crash.CrashPolicy;
import org.chivetally.queue.speed.EstimateCalibrator;
import org.chivetally.queue.speed.SpeedClasses;

/**
 * Chooses the worker of a task: a worker that may run the task and is likely to run it well, and of these the one with
 * the most free processors. Spreading tasks keeps the queue of starts at each worker short. Typical tasks fit ten times
 * into a worker, so packing them tightly would gain less than a tenth of a worker's room.
 *
 * <p>Under load, workers have room for a task only now and then, and all entries learn of it at the same moment. If all
 * chose the same worker, all but one of their starts would be refused, as happened to 30% of the starts at 95% load.
 * Among workers with little room the choice is therefore random.
 */
public final class PlacementPolicy {
    /**
     * At most one in this many workers is avoided for its health or has its runs stopped. If more look unhealthy, the
     * cause is the tasks or the load, and the remaining workers could not carry the load.
     */
    public static final int MINIMUM_WORKERS_PER_AVOIDED = 3;

    /**
     * A worker's free room is scarce, and so contended by all entries, when it is less than the capacity divided by
     * this.
     */
    static final int SCARCE_ROOM_DIVISOR = 4;

    /**
     * A worker in the entry's own failure domain is preferred to one with more free room if the difference is less than
     * the capacity divided by this. Frames within a failure domain are free of charge and take a fifth of the time.
     */
    static final int SAME_DOMAIN_BONUS_DIVISOR = 8;

    /** Penalties outweigh all free room, as workers have fewer than a thousand cores. */
    private static final long OTHER_RACK_PENALTY_MILLICORES = 1_000_000_000L;

    private static final long UNHEALTHY_PENALTY_MILLICORES = 2_000_000_000L;

    /**
     * Penalty of a worker that holds a suspect: outweighs all free room, but less than the penalty of an unhealthy
     * worker.
     */
    private static final long SUSPECT_PENALTY_MILLICORES = 500_000_000L;

    /** Weight of a worker's used room relative to its free room when a worker is chosen for a suspect. */
    private static final long USED_ROOM_WEIGHT = 100;

    private final String failureDomain;
    private final RandomGenerator random;
    private final boolean learnsSpeeds;
    private final WorkerSpeeds speeds = new WorkerSpeeds();
    private final EstimateCalibrator calibrator = new EstimateCalibrator();
    private final CrashPolicy crashes;

    /**
     * Creates the policy of one entry that treats all workers as equally fast and no task as a suspect.
     *
     * @param failureDomain failure domain of the entry
     * @param random source of random numbers, with a seed that differs between entries
     */
    public PlacementPolicy(String failureDomain, RandomGenerator random) {
        this(failureDomain, random, false, CrashPolicy.NONE);
    }

    /**
     * Creates the policy of one entry.
     *
     * @param failureDomain failure domain of the entry
     * @param random source of random numbers, with a seed that differs between entries
     * @param learnsSpeeds whether tasks are placed by worker speeds learned from their runs
     * @param crashes determines which tasks are suspects, to be kept apart from each other
     */
    public PlacementPolicy(String failureDomain, RandomGenerator random, boolean learnsSpeeds, CrashPolicy crashes) {
        this.crashes = crashes;
        this.failureDomain = failureDomain;
        this.random = random;
        this.learnsSpeeds = learnsSpeeds;
    }

    /** Tells whether the speeds of workers are learned from their runs. */
    public boolean learnsSpeeds() {
        return learnsSpeeds;
    }

    /**
     * Returns the expected duration of a task in milliseconds on a worker of stretch 1; 0 without an estimate. While
     * speeds aren't learned, it equals the estimate.
     */
    public double expectedMillis(Task task) {
        int estimate = Math.max(0, task.step().estimatedMillis());
        return learnsSpeeds
                ? calibrator.expectedMillis(task.job().specification().terms().queue(), estimate)
                : estimate;
    }

    /**
     * Records that a run has ended successfully. Must be called before the run is removed from its worker.
     *
     * @param nowNanos the time, by the monotonic clock
     */
    public void recordEnd(Worker worker, Worker.SentStart start, long nowNanos) {
        worker.recordEnd(start, nowNanos);
        if (learnsSpeeds && start.number() > 0) {
            double millis = (nowNanos - start.atNanos()) / (1e6 * worker.stretch());
            Task task = start.task();
            String queue = task.job().specification().terms().queue();
            calibrator.recordRun(queue, task.step().estimatedMillis(), millis, nowNanos);
        }
    }

    /**
     * Returns the ratio of run durations between the slowest and the fastest accepting workers; 1 while speeds aren't
     * learned.
     */
    public double speedSpread() {
        return speeds.spread();
    }

    /**
     * Returns a placement pass over the given workers at one moment.
     *
     * @param nowNanos the time, by the monotonic clock
     */
    public Pass newPass(Collection<Worker> workers, long nowNanos) {
        return new Pass(workers, nowNanos);
    }

    /**
     * Tells whether entries compete for the free room of a service: the waiting tasks of this entry need more than its
     * share of that room.
     *
     * @param waitingMillicores processors that the waiting tasks of this entry need
     * @param backlogShare this entry's share of the waiting work of all entries
     */
    public static boolean isContended(Pass pass, String service, long waitingMillicores, double backlogShare) {
        return backlogShare < 1 && waitingMillicores > backlogShare * pass.freeMillicores(service);
    }

    /** Placement of tasks at one moment. */
    public final class Pass {
        private final long nowNanos;
        private final List<Worker> acceptingWorkers = new ArrayList<>();
        private final boolean excludesUnhealthy;
        private SpeedCandidates candidates;
        private ReleaseWaitEstimator waitEstimator;

        private Pass(Collection<Worker> workers, long nowNanos) {
            this.nowNanos = nowNanos;
            int unhealthy = 0;
            for (Worker worker : workers) {
                if (worker.acceptsStarts(nowNanos)) {
                    acceptingWorkers.add(worker);
                    unhealthy += isUnhealthy(worker) ? 1 : 0;
                }
            }
            excludesUnhealthy = MINIMUM_WORKERS_PER_AVOIDED * unhealthy <= acceptingWorkers.size();
            if (learnsSpeeds) {
                speeds.refresh(acceptingWorkers, nowNanos);
            }
        }

        private long freeMillicores(String service) {
            long free = 0;
            for (Worker worker : acceptingWorkers) {
                boolean serves = worker.lastReport().service().equals(service);
                free += serves ? Math.max(0, worker.freeRoom().processorMillis()) : 0;
            }
            return free;
        }

        /** Tells whether a worker should get no start now: it is avoided, or on probation with a run in progress. */
        private boolean isUnhealthy(Worker worker) {
            return worker.health().isAvoided(nowNanos)
                    || worker.health().isOnProbation(nowNanos) && worker.hasRunsNotOverdue();
        }

        /**
         * Returns the best worker that has room for the task now; empty when none has. A task that failed on a worker
         * waits for a different one if there is any: it has few attempts, and a worker that fails all its runs has free
         * room at once.
         */
        public Optional<Worker> choose(Task task) {
            return choose(task, 1);
        }

        /**
         * Returns the best worker that has room for the task now, of whose free room this entry's unacknowledged starts
         * take no more than the given share. When workers are few and all entries have a backlog, as after a loss of
         * power, each entry would otherwise send starts for a worker's whole free room, and those of all but one would
         * be refused.
         *
         * @param freeShare this entry's share of the free room; 1 for no bound
         */
        public Optional<Worker> choose(Task task, double freeShare) {
            boolean suspect = isSuspect(task);
            Optional<Worker> worker = choose(task, freeShare, suspect);
            boolean decided = worker.isPresent() || !suspect;
            return decided || !crashes.isUrgent(nowNanos, task.job().latestStartNanos())
                    ? worker
                    : choose(task, freeShare, false);
        }

        private Optional<Worker> choose(Task task, double freeShare, boolean isolated) {
            Worker best = null;
            long bestScore = Long.MIN_VALUE;
            boolean hasAlternative = hasHealthyAlternative(task);
            for (Worker worker : acceptingWorkers) {
                if (isExcluded(task, worker, hasAlternative) || isolated && worker.holdsSuspect()) {
                    continue;
                }
                Room free = worker.freeRoom();
                if (!hasRoom(task, worker, free, freeShare)) {
                    continue;
                }
                long score = score(task, worker, free.processorMillis()) + suspectScore(worker, isolated);
                if (score > bestScore) {
                    best = worker;
                    bestScore = score;
                }
            }
            return Optional.ofNullable(best);
        }

        /**
         * Decides where a task is placed. The speeds of the workers count if they differ by more than the slack factor
         * of the task's queue: a job is late on a worker that is slower than the fastest by more than that factor, even
         * without any wait.
         *
         * @param freeShare this entry's share of the free room; 1 for no bound
         * @param releaseShare this entry's share of the room that becomes free
         */
        public PlacementDecision decide(Task task, double freeShare, double releaseShare) {
            double expectedMillis = expectedMillis(task);
            if (!learnsSpeeds || expectedMillis <= 0 || isSuspect(task)) {
                return PlacementDecision.byRoom(choose(task, freeShare));
            }
            QueueTerms terms = task.job().specification().terms();
            SpeedClasses classes = speeds.classesOf(terms.service());
            if (!classes.spreadExceeds(terms.slackFactor())) {
                return PlacementDecision.byRoom(choose(task, freeShare));
            }
            collectCandidates(task, freeShare, classes.count());
            if (waitEstimator == null || !waitEstimator.isForService(terms.service())) {
                waitEstimator = new ReleaseWaitEstimator(acceptingWorkers, terms.service(), classes.count());
            }
            waitEstimator.setTask(releaseShare, task.room().processorMillis(), expectedMillis);
            return candidates.choose(TaskForecast.of(task, expectedMillis, nowNanos), classes, waitEstimator);
        }

        private void collectCandidates(Task task, double freeShare, int classCount) {
            if (candidates == null) {
                candidates = new SpeedCandidates(acceptingWorkers.size());
            }
            candidates.reset(classCount);
            boolean hasAlternative = hasHealthyAlternative(task);
            for (Worker worker : acceptingWorkers) {
                if (isExcluded(task, worker, hasAlternative)) {
                    continue;
                }
                Room free = worker.freeRoom();
                if (task.room().fitsInto(worker.lastReport().capacity())) {
                    candidates.addCapacity(worker, free.processorMillis());
                }
                if (hasRoom(task, worker, free, freeShare)) {
                    candidates.addCandidate(
                            worker, scoreInClass(task, worker, free.processorMillis()) + suspectScore(worker, false));
                }
            }
        }

        private boolean isExcluded(Task task, Worker worker, boolean hasAlternative) {
            return hasAlternative && failedOn(task, worker)
                    || excludesUnhealthy && isUnhealthy(worker)
                    || !mayRun(task, worker);
        }

        private static boolean hasRoom(Task task, Worker worker, Room free, double freeShare) {
            boolean exceedsShare = freeShare < 1 && worker.exceedsShare(task.room(), freeShare);
            return !exceedsShare && task.room().fitsInto(free);
        }

        /** Tells whether all entries compete for a worker's free room. */
        private static boolean isScarce(Worker worker, long freeMillicores) {
            return SCARCE_ROOM_DIVISOR * freeMillicores
                    < worker.lastReport().capacity().processorMillis();
        }

        /** Tells whether the task may have crashed a minion and is kept apart from other such tasks. */
        private boolean isSuspect(Task task) {
            return crashes.isSuspect(task.possibleCrashes());
        }

        /**
         * Returns the part of a worker's score that keeps suspects apart. Other tasks avoid workers that hold a suspect
         * as long as there is room elsewhere, and a suspect goes to the worker with the least used room, because all
         * runs on a worker are lost when its minion crashes.
         */
        private long suspectScore(Worker worker, boolean isolated) {
            if (crashes.limit() == 0) {
                return 0;
            }
            if (!isolated) {
                return worker.holdsSuspect() ? -SUSPECT_PENALTY_MILLICORES : 0;
            }
            Room capacity = worker.lastReport().capacity();
            return -(capacity.processorMillis() - worker.freeRoom().processorMillis()) * USED_ROOM_WEIGHT;
        }

        /**
         * Tells whether there is a healthy worker that may run the task, other than the one where it last failed,
         * whether it has room or not.
         */
        private boolean hasHealthyAlternative(Task task) {
            if (task.lastFailedWorker().isEmpty()) {
                return false;
            }
            for (Worker worker : acceptingWorkers) {
                if (!failedOn(task, worker) && !isUnhealthy(worker) && mayRun(task, worker)) {
                    return true;
                }
            }
            return false;
        }

        /**
         * Returns a score in which the free room is a random number up to its size. All entries prefer the same few
         * fast workers and know their free room only as of the last heartbeat, so all would send their starts to the
         * emptiest worker until the next heartbeat.
         */
        private long scoreInClass(Task task, Worker worker, long freeMillicores) {
            long score = score(task, worker, freeMillicores);
            return isScarce(worker, freeMillicores) ? score : score - random.nextLong(freeMillicores + 1);
        }

        private long score(Task task, Worker worker, long freeMillicores) {
            boolean otherRack = !task.step().traits().preferredRack().isEmpty()
                    && !worker.lastReport()
                            .labels()
                            .contains(task.step().traits().preferredRack());
            long capacity = worker.lastReport().capacity().processorMillis();
            long score = isScarce(worker, freeMillicores) ? random.nextLong(freeMillicores + 1) : freeMillicores;
            score += worker.lastReport().failureDomain().equals(failureDomain)
                    ? capacity / SAME_DOMAIN_BONUS_DIVISOR
                    : 0;
            score -= isUnhealthy(worker) ? UNHEALTHY_PENALTY_MILLICORES : 0;
            score -= otherRack ? OTHER_RACK_PENALTY_MILLICORES : 0;
            return score;
        }
    }

    private static boolean failedOn(Task task, Worker worker) {
        return task.lastFailedWorker().isPresent()
                && task.lastFailedWorker().get().equals(worker.process());
    }

    /** Tells whether a worker may run the task, whether it has room or not. */
    private static boolean mayRun(Task task, Worker worker) {
        if (!worker.lastReport()
                .service()
                .equals(task.job().specification().terms().service())) {
            return false;
        }
        StepTraits traits = task.step().traits();
        if (!traits.requiredLabel().isEmpty() && !worker.lastReport().labels().contains(traits.requiredLabel())) {
            return false;
        }
        return traits.maximumPerWorker() == 0 || tasksOfStep(task, worker) < traits.maximumPerWorker();
    }

    private static int tasksOfStep(Task task, Worker worker) {
        int count = 0;
        for (Worker.SentStart start : worker.inProgress()) {
            boolean sameStep = start.task().job() == task.job()
                    && start.task().key().step() == task.key().step();
            count += sameStep ? 1 : 0;
        }
        return count;
    }
}
