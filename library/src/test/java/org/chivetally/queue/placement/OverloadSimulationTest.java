package org.chivetally.queue.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import org.chivetally.queue.CompletionForecast;
import org.chivetally.queue.Job;
import org.chivetally.queue.JobPhase;
import org.chivetally.queue.Jobs;
import org.chivetally.queue.Room;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.Task;
import org.junit.jupiter.api.Test;

/**
 * Simulates the overload situations for which the placement and admission rules exist, on a service without spare
 * capacity.
 */
class OverloadSimulationTest {
    private static final long MILLISECOND_NANOS = Duration.ofMillis(1).toNanos();

    /** Objective of {@link Jobs}: 1.6 times the work of 100 ms, plus 60 ms. */
    private static final long OBJECTIVE_NANOS = 220 * MILLISECOND_NANOS;

    /** Latest end of a job that is worth anything. */
    private static final long LATE_LIMIT_NANOS = 3 * OBJECTIVE_NANOS;

    private static final Room CAPACITY = new Room(60_000, 131_072, 0);
    private static final int WORKERS = 11;

    /** Tasks of {@link Jobs} that fit on a worker at once. */
    private static final int TASKS_PER_WORKER = 10;

    private final PriorityQueue<Run> running = new PriorityQueue<>(Comparator.comparing(Run::endNanos));
    private final WaitingTasks waiting = new WaitingTasks();
    private final List<Worker> workers = new ArrayList<>();
    private final Random random = new Random(7);
    private final PlacementPolicy policy = new PlacementPolicy("north", new SplittableRandom(7));
    private long nowNanos;
    private int failingRuns;
    private int failedJobs;
    private int inTime;

    private record Run(Task task, Worker worker, Worker.SentStart sent, boolean fails, long endNanos) {}

    OverloadSimulationTest() {
        for (int number = 0; number < WORKERS; number++) {
            Worker worker = new Worker("worker-" + number, 0);
            worker.linkOpened("link");
            workers.add(worker);
        }
    }

    /**
     * After a loss of power for one second, callers continue at 99% of the capacity. Served by age, the backlog of one
     * second would persist, every job would wait about as long as its objective allows, and half would be late. Jobs
     * that have missed their objective come later instead, and soon the others are served on time again.
     */
    @Test
    void persistentBacklogDoesNotMakeEveryJobLate() {
        int jobsPerSecond = 99 * WORKERS * TASKS_PER_WORKER / 10 / 2;
        List<Job> jobs = new ArrayList<>();
        for (int number = 0; number < jobsPerSecond; number++) {
            jobs.add(arrive(number));
        }
        int countedJobs = 0;
        for (int number = 0; number < 10 * jobsPerSecond; number++) {
            advanceTo(Duration.ofSeconds(1).toNanos() * number / jobsPerSecond);
            inTime = number == 2 * jobsPerSecond ? 0 : inTime;
            countedJobs += number >= 2 * jobsPerSecond ? 1 : 0;
            jobs.add(arrive(jobsPerSecond + number));
        }
        assertThat((double) inTime / countedJobs, greaterThan(0.9));
    }

    /**
     * One of eleven workers fails every run at once while the others are full. It always has room and would fail some
     * tasks of every waiting job twice, and a job fails when one of its tasks has failed twice.
     */
    @Test
    void workerThatFailsEveryRunDoesNotFailJobs() {
        int jobsPerSecond = 95 * WORKERS * TASKS_PER_WORKER / 10 / 2;
        for (int number = 0; number < 6 * jobsPerSecond; number++) {
            advanceTo(Duration.ofSeconds(1).toNanos() * number / jobsPerSecond);
            arrive(number, "worker-0");
        }
        assertThat(failedJobs, is(0));
        assertThat(failingRuns, lessThan(10));
    }

    /**
     * In a burst at 150% of the capacity, a third of the jobs can't be served. If they were kept until they are too
     * late, their callers would wait in vain for up to twice the objective. They must be refused within the objective,
     * with no fewer jobs served on time.
     */
    @Test
    void unservableJobsInABurstAreRefusedWithinTheObjective() {
        int jobsPerSecond = 150 * WORKERS * TASKS_PER_WORKER / 10 / 2;
        ArrivalRate arrivals = new ArrivalRate();
        Set<Job> notRefused = new HashSet<>();
        for (int number = 0; number < 3 * jobsPerSecond; number++) {
            advanceTo(Duration.ofSeconds(1).toNanos() * number / jobsPerSecond);
            Job arrived = arrive(number);
            notRefused.add(arrived);
            arrivals.recordArrival(arrived.specification(), nowNanos);
            long spareMillicores = WORKERS * CAPACITY.processorMillis() - arrivals.arrivingMillicores(nowNanos);
            for (Job job : waiting.unservableJobs("reports", spareMillicores, nowNanos)) {
                long waitedNanos = nowNanos - job.acceptedAtNanos();
                assertThat(waitedNanos, lessThan(number < jobsPerSecond ? LATE_LIMIT_NANOS : OBJECTIVE_NANOS));
                job.tasks().forEach(waiting::remove);
                notRefused.remove(job);
            }
        }
        notRefused.removeIf(job -> job.phase() != JobPhase.QUEUED || !job.isTooLate(nowNanos));
        assertThat((double) inTime / (3 * jobsPerSecond), greaterThan(0.55));
        assertThat(notRefused, is(empty()));
    }

    private String failingWorker = "";

    private void arrive(int number, String failing) {
        failingWorker = failing;
        arrive(number);
    }

    private Job arrive(int number) {
        Job job = new Job(
                Jobs.of("job-" + number, 2, 0, 100),
                nowNanos,
                nowNanos + Duration.ofMinutes(1).toNanos());
        for (Task task : job.tasks()) {
            waiting.add(task, nowNanos);
        }
        place();
        return job;
    }

    private void advanceTo(long nanos) {
        while (!running.isEmpty() && running.peek().endNanos() <= nanos) {
            Run run = running.poll();
            nowNanos = run.endNanos();
            end(run);
            place();
        }
        nowNanos = nanos;
    }

    private void end(Run run) {
        Job job = run.task().job();
        boolean open = !job.phase().isFinal();
        if (run.fails()) {
            failingRuns++;
            run.worker().health().recordFailedRun(job.specification().id(), nowNanos);
        } else {
            run.worker().recordEnd(run.sent(), nowNanos);
        }
        run.worker().remove(run.task().key());
        RunOutcome outcome = run.fails() ? RunOutcome.FAILED : RunOutcome.DONE;
        for (Task ready : job.recordRunEnd(run.task(), run.task().lastRun(), outcome, 0)) {
            waiting.add(ready, nowNanos);
        }
        if (open && job.phase().isFinal()) {
            failedJobs += run.fails() ? 1 : 0;
            inTime += !run.fails() && nowNanos - job.acceptedAtNanos() <= OBJECTIVE_NANOS ? 1 : 0;
        }
    }

    private void place() {
        waiting.refresh(nowNanos);
        for (Worker worker : workers) {
            report(worker);
        }
        PlacementPolicy.Pass pass = policy.newPass(workers, nowNanos);
        for (Task task : waiting.first("reports", TASKS_PER_WORKER)) {
            if (task.job().phase().isFinal()
                    || task.job().completionForecast(nowNanos).timeliness() == CompletionForecast.Timeliness.TOO_LATE) {
                waiting.remove(task);
                continue;
            }
            Optional<Worker> chosen = pass.choose(task);
            if (chosen.isEmpty()) {
                return;
            }
            start(task, chosen.get());
        }
    }

    private void report(Worker worker) {
        Room free = CAPACITY;
        for (Worker.SentStart sent : worker.inProgress()) {
            free = free.minus(sent.task().room());
        }
        worker.recordReport(
                new Worker.Report("boot", "reports", CAPACITY, free, true, List.of(), "north", Long.MAX_VALUE),
                nowNanos);
    }

    private void start(Task task, Worker worker) {
        waiting.remove(task);
        long run = task.lastRun() + 1;
        Worker.SentStart sent = worker.send(task, run, nowNanos);
        task.job().recordPlacement(task, worker.process(), run);
        boolean fails = worker.process().equals(failingWorker);
        long durationNanos =
                fails ? MILLISECOND_NANOS : 90 * MILLISECOND_NANOS + random.nextInt((int) (20 * MILLISECOND_NANOS));
        running.add(new Run(task, worker, sent, fails, nowNanos + durationNanos));
        report(worker);
    }
}
