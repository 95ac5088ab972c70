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
import org.chivetally.queue.speed.QueueEstimates;
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
    public static final int AVOIDED_PART = 3;

    /** Part of the capacity under which a worker's free room is contended. */
    static final int SCARCE_PART = 4;

    /**
     * Part of the capacity by which a worker of the entry's own failure domain may be fuller than another and is still
     * chosen: frames to it are not priced, and the way is a fifth as long.
     */
    static final int NEAR_PART = 8;

    /** Penalty that outweighs all free room, as rooms stay below a thousand cores. */
    private static final long FAR_MILLIS = 1_000_000_000L;

    private static final long BAD_MILLIS = 2_000_000_000L;

    /** Penalty of a worker that holds a suspect: it outweighs all free room, and less than a bad worker does. */
    private static final long SUSPECT_MILLIS = 500_000_000L;

    /** Weight of what a worker holds over what it has free, in the choice for a suspect. */
    private static final long HELD_WEIGHT = 100;

    private final String failureDomain;
    private final RandomGenerator random;
    private final boolean learnsSpeeds;
    private final WorkerSpeeds speeds = new WorkerSpeeds();
    private final QueueEstimates estimates = new QueueEstimates();
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
                ? estimates.expectedMillis(task.job().specification().terms().queue(), estimate)
                : estimate;
    }

    /** Notes that a run ended done, before it is removed from its worker. */
    public void ended(Worker worker, Worker.Sent start, long nowNanos) {
        worker.ended(start, nowNanos);
        if (learnsSpeeds && start.number() > 0) {
            double millis = (nowNanos - start.atNanos()) / (1e6 * worker.stretch());
            Task task = start.task();
            String queue = task.job().specification().terms().queue();
            estimates.ended(queue, task.step().estimatedMillis(), millis, nowNanos);
        }
    }

    /** Returns how many times as long the slowest open workers take as the fastest; 1 while speeds aren't learned. */
    public double speedSpread() {
        return speeds.spread();
    }

    /** Returns the choices that the workers allow at a moment, for one pass over the waiting tasks. */
    public Pass over(Collection<Worker> workers, long nowNanos) {
        return new Pass(workers, nowNanos);
    }

    /**
     * Tells whether a service's entries are after the same room: this one's waiting tasks need more than its part of
     * what is free.
     *
     * @param waitingMillis processors in thousandths that the waiting tasks need
     * @param part this entry's part of all that waits
     */
    public static boolean isContended(Pass pass, String service, long waitingMillis, double part) {
        return part < 1 && waitingMillis > part * pass.freeMillis(service);
    }

    /** Choices at one moment. */
    public final class Pass {
        private final long nowNanos;
        private final List<Worker> open = new ArrayList<>();
        private final boolean passesOver;
        private SpeedCandidates candidates;
        private ClassRelease release;

        private Pass(Collection<Worker> workers, long nowNanos) {
            this.nowNanos = nowNanos;
            int bad = 0;
            for (Worker worker : workers) {
                if (worker.isOpen(nowNanos)) {
                    open.add(worker);
                    bad += isPassedOver(worker) ? 1 : 0;
                }
            }
            passesOver = AVOIDED_PART * bad <= open.size();
            if (learnsSpeeds) {
                speeds.refresh(open, nowNanos);
            }
        }

        private long freeMillis(String service) {
            long free = 0;
            for (Worker worker : open) {
                boolean serves = worker.view().service().equals(service);
                free += serves ? Math.max(0, worker.free().processorMillis()) : 0;
            }
            return free;
        }

        private boolean isPassedOver(Worker worker) {
            return worker.health().isAvoided(nowNanos) || worker.health().isTried(nowNanos) && worker.isBusy();
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
        public Optional<Worker> choose(Task task, double part) {
            boolean suspect = isSuspect(task);
            Optional<Worker> worker = choose(task, part, suspect);
            boolean alone = worker.isPresent() || !suspect;
            return alone || !crashes.isUrgent(nowNanos, task.job().latestStartNanos())
                    ? worker
                    : choose(task, part, false);
        }

        private Optional<Worker> choose(Task task, double part, boolean isolated) {
            Worker best = null;
            long bestScore = Long.MIN_VALUE;
            boolean elsewhere = isPossibleElsewhere(task);
            for (Worker worker : open) {
                if (isExcluded(task, worker, elsewhere) || isolated && worker.holdsSuspect()) {
                    continue;
                }
                Room free = worker.free();
                if (!hasRoom(task, worker, free, part)) {
                    continue;
                }
                long score = score(task, worker, free.processorMillis()) + apart(worker, isolated);
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
        public Choice decide(Task task, double part, double share) {
            double expectedMillis = expectedMillis(task);
            if (!learnsSpeeds || expectedMillis <= 0 || isSuspect(task)) {
                return Choice.byRoom(choose(task, part));
            }
            QueueTerms terms = task.job().specification().terms();
            SpeedClasses classes = speeds.of(terms.service());
            if (!classes.isSpreadOver(terms.slackFactor())) {
                return Choice.byRoom(choose(task, part));
            }
            collect(task, part, classes.count());
            if (release == null || !release.isOf(terms.service())) {
                release = new ClassRelease(open, terms.service(), classes.count());
            }
            release.ask(share, task.room().processorMillis(), expectedMillis);
            return candidates.choose(TaskForecast.of(task, expectedMillis, nowNanos), classes, release);
        }

        private void collect(Task task, double part, int classes) {
            if (candidates == null) {
                candidates = new SpeedCandidates(open.size());
            }
            candidates.clear(classes);
            boolean elsewhere = isPossibleElsewhere(task);
            for (Worker worker : open) {
                if (isExcluded(task, worker, elsewhere)) {
                    continue;
                }
                Room free = worker.free();
                if (task.room().fitsInto(worker.view().capacity())) {
                    candidates.usable(worker, free.processorMillis());
                }
                if (hasRoom(task, worker, free, part)) {
                    candidates.add(worker, scoreInClass(task, worker, free.processorMillis()) + apart(worker, false));
                }
            }
        }

        private boolean isExcluded(Task task, Worker worker, boolean elsewhere) {
            return elsewhere && failedAt(task, worker) || passesOver && isPassedOver(worker) || !mayRun(task, worker);
        }

        private static boolean hasRoom(Task task, Worker worker, Room free, double part) {
            boolean overPart = part < 1 && worker.isOverPart(task.room(), part);
            return !overPart && task.room().fitsInto(free);
        }

        /** Tells whether a worker's free room is contended. */
        private static boolean isScarce(Worker worker, long free) {
            return SCARCE_PART * free < worker.view().capacity().processorMillis();
        }

        /** Tells whether a task is kept apart from others that may be the cause of a crash. */
        private boolean isSuspect(Task task) {
            return crashes.isSuspect(task.crashes().crashes());
        }

        /**
         * Returns what counts for or against a worker while suspects are kept apart: a suspect goes where little runs,
         * and others keep away from suspects while there is room elsewhere, as they would crash together.
         */
        private long apart(Worker worker, boolean isolated) {
            if (crashes.limit() == 0) {
                return 0;
            }
            if (!isolated) {
                return worker.holdsSuspect() ? -SUSPECT_MILLIS : 0;
            }
            Room capacity = worker.view().capacity();
            return -(capacity.processorMillis() - worker.free().processorMillis()) * HELD_WEIGHT;
        }

        /** Tells whether there is a sound worker for the task where it has not just failed, with room or without. */
        private boolean isPossibleElsewhere(Task task) {
            if (task.lastFailedWorker().isEmpty()) {
                return false;
            }
            for (Worker worker : open) {
                if (!failedAt(task, worker) && !isPassedOver(worker) && mayRun(task, worker)) {
                    return true;
                }
            }
            return false;
        }

        /**
         * Returns a score in which room counts by chance. All entries prefer the same few fast workers, and know their
         * room as it was up to a heartbeat ago: all would send to the emptiest until the next one comes.
         */
        private long scoreInClass(Task task, Worker worker, long free) {
            long score = score(task, worker, free);
            return isScarce(worker, free) ? score : score - random.nextLong(free + 1);
        }

        private long score(Task task, Worker worker, long free) {
            boolean far = !task.step().traits().preferredRack().isEmpty()
                    && !worker.view().labels().contains(task.step().traits().preferredRack());
            long capacity = worker.view().capacity().processorMillis();
            long score = isScarce(worker, free) ? random.nextLong(free + 1) : free;
            score += worker.view().failureDomain().equals(failureDomain) ? capacity / NEAR_PART : 0;
            score -= isPassedOver(worker) ? BAD_MILLIS : 0;
            score -= far ? FAR_MILLIS : 0;
            return score;
        }
    }

    private static boolean failedAt(Task task, Worker worker) {
        return task.lastFailedWorker().isPresent()
                && task.lastFailedWorker().get().equals(worker.process());
    }

    /** Tells whether a worker is allowed to run the task, whether it has room or not. */
    private static boolean mayRun(Task task, Worker worker) {
        if (!worker.view().service().equals(task.job().specification().terms().service())) {
            return false;
        }
        StepTraits traits = task.step().traits();
        if (!traits.requiredLabel().isEmpty() && !worker.view().labels().contains(traits.requiredLabel())) {
            return false;
        }
        return traits.maximumPerWorker() == 0 || tasksOfStep(task, worker) < traits.maximumPerWorker();
    }

    private static int tasksOfStep(Task task, Worker worker) {
        int count = 0;
        for (Worker.Sent start : worker.sent()) {
            boolean sameStep = start.task().job() == task.job()
                    && start.task().key().step() == task.key().step();
            count += sameStep ? 1 : 0;
        }
        return count;
    }
}
