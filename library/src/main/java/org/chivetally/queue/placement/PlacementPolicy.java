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
 * Chooses the worker of a task: one that may run it and is likely to run it well, and of these the one with the most
 * processors free. Spreading keeps every worker's queue of starts short; the tasks of the sheets fit ten times into a
 * worker, so packing them tightly would gain less than a tenth of a worker's room.
 *
 * <p>Under load the workers have room for a task now and then, and each entry learns of it at the same moment. All
 * would choose the same worker, and all but one be refused: 30% of the starts were at 95% load. Among workers with
 * little room the choice is therefore random.
 */
public final class PlacementPolicy {
    /**
     * At most one worker in so many is passed over for its health, or gives up its runs. Where more look bad, it is the
     * tasks or the load, and the rest could not bear what comes.
     */
    public static final int MINIMUM_WORKERS_PER_AVOIDED = 3;

    /** Part of the capacity under which a worker's free room is contended. */
    static final int SCARCE_ROOM_DIVISOR = 4;

    /**
     * Part of the capacity by which a worker of the entry's own failure domain may be fuller than another and is still
     * chosen: frames to it are not priced, and the way is a fifth as long.
     */
    static final int SAME_DOMAIN_BONUS_DIVISOR = 8;

    /** Penalty that outweighs all free room, as rooms stay below a thousand cores. */
    private static final long OTHER_RACK_PENALTY_MILLICORES = 1_000_000_000L;

    private static final long UNHEALTHY_PENALTY_MILLICORES = 2_000_000_000L;

    /** Penalty of a worker that holds a suspect: it outweighs all free room, and less than a bad worker does. */
    private static final long SUSPECT_PENALTY_MILLICORES = 500_000_000L;

    /** Weight of what a worker holds over what it has free, in the choice for a suspect. */
    private static final long USED_ROOM_WEIGHT = 100;

    private final String failureDomain;
    private final RandomGenerator random;
    private final boolean learnsSpeeds;
    private final WorkerSpeeds speeds = new WorkerSpeeds();
    private final EstimateCalibrator calibrator = new EstimateCalibrator();
    private final CrashPolicy crashes;

    /**
     * Creates the policy of one entry, to which all workers are equally fast and no task is suspect.
     *
     * @param failureDomain the entry's own
     * @param random differs from that of other entries
     */
    public PlacementPolicy(String failureDomain, RandomGenerator random) {
        this(failureDomain, random, false, CrashPolicy.NONE);
    }

    /**
     * Creates the policy of one entry.
     *
     * @param failureDomain the entry's own
     * @param random differs from that of other entries
     * @param learnsSpeeds whether workers' speeds are learned from their runs, and decide where a task goes
     * @param crashes decides which tasks are kept apart
     */
    public PlacementPolicy(String failureDomain, RandomGenerator random, boolean learnsSpeeds, CrashPolicy crashes) {
        this.crashes = crashes;
        this.failureDomain = failureDomain;
        this.random = random;
        this.learnsSpeeds = learnsSpeeds;
    }

    /** Tells whether workers' speeds are learned from their runs. */
    public boolean learnsSpeeds() {
        return learnsSpeeds;
    }

    /**
     * Returns the duration to expect of a task in milliseconds, on a worker whose runs last as estimated; 0 without an
     * estimate. While speeds aren't learned it is the estimate.
     */
    public double expectedMillis(Task task) {
        int estimate = Math.max(0, task.step().estimatedMillis());
        return learnsSpeeds
                ? calibrator.expectedMillis(task.job().specification().terms().queue(), estimate)
                : estimate;
    }

    /** Notes that a run ended done, before it is removed from its worker. */
    public void recordEnd(Worker worker, Worker.SentStart start, long nowNanos) {
        worker.recordEnd(start, nowNanos);
        if (learnsSpeeds && start.number() > 0) {
            double millis = (nowNanos - start.atNanos()) / (1e6 * worker.stretch());
            Task task = start.task();
            String queue = task.job().specification().terms().queue();
            calibrator.recordRun(queue, task.step().estimatedMillis(), millis, nowNanos);
        }
    }

    /** Returns how many times as long the slowest open workers take as the fastest; 1 while speeds aren't learned. */
    public double speedSpread() {
        return speeds.spread();
    }

    /** Returns the choices that the workers allow at a moment, for one pass over the waiting tasks. */
    public Pass newPass(Collection<Worker> workers, long nowNanos) {
        return new Pass(workers, nowNanos);
    }

    /**
     * Tells whether a service's entries are after the same room: this one's waiting tasks need more than its part of
     * what is free.
     *
     * @param waitingMillis processors in thousandths that the waiting tasks need
     * @param part this entry's part of all that waits
     */
    public static boolean isContended(Pass pass, String service, long waitingMillicores, double backlogShare) {
        return backlogShare < 1 && waitingMillicores > backlogShare * pass.freeMillicores(service);
    }

    /** Choices at one moment. */
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

        private boolean isUnhealthy(Worker worker) {
            return worker.health().isAvoided(nowNanos)
                    || worker.health().isOnProbation(nowNanos) && worker.hasRunsNotOverdue();
        }

        /**
         * Returns the best worker that has room for the task now; empty when none has. A task that failed on a worker
         * waits for another one, as long as there is one: its attempts are few, and a worker that fails all has room at
         * once.
         */
        public Optional<Worker> choose(Task task) {
            return choose(task, 1);
        }

        /**
         * Returns the best worker that has room for the task now, and of whose room this entry's starts on their way
         * take no more than a part. When workers are few and all entries have a backlog, as after a loss of power, each
         * would send a worker's whole room to it, and all but one be refused.
         *
         * @param part this entry's part of the room; 1 for no bound
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
         * Decides where a task goes, by the workers' speeds if these differ by more than the task's queue allows for: a
         * worker that is slower than the fastest by more than the slack factor makes a job late by itself.
         *
         * @param part this entry's part of the room; 1 for no bound
         * @param share this entry's part of the room that comes free
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

        /** Tells whether a worker's free room is contended. */
        private static boolean isScarce(Worker worker, long freeMillicores) {
            return SCARCE_ROOM_DIVISOR * freeMillicores
                    < worker.lastReport().capacity().processorMillis();
        }

        /** Tells whether a task is kept apart from others that may be the cause of a crash. */
        private boolean isSuspect(Task task) {
            return crashes.isSuspect(task.crashes().crashes());
        }

        /**
         * Returns what counts for or against a worker while suspects are kept apart: a suspect goes where little runs,
         * and others keep away from suspects while there is room elsewhere, as they would crash together.
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

        /** Tells whether there is a sound worker for the task where it has not just failed, with room or without. */
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
         * Returns a score in which room counts by chance. All entries prefer the same few fast workers, and know their
         * room as it was up to a heartbeat ago: all would send to the emptiest until the next one comes.
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

    /** Tells whether a worker is allowed to run the task, whether it has room or not. */
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
