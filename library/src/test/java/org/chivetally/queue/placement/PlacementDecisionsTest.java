package org.chivetally.queue.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.chivetally.queue.Job;
import org.chivetally.queue.JobSpecification;
import org.chivetally.queue.Jobs;
import org.chivetally.queue.QueueTerms;
import org.chivetally.queue.Room;
import org.chivetally.queue.StepSpecification;
import org.chivetally.queue.StepTraits;
import org.chivetally.queue.Task;
import org.junit.jupiter.api.Test;

/** Guards single decisions on placement, worker health, order and admission without learned speeds or fair shares. */
class PlacementDecisionsTest {
    private static final Room CAPACITY = new Room(64_000, 131_072, 0);
    private static final PlacementPolicy POLICY = new PlacementPolicy("south", new SplittableRandom(1));
    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();

    private static Worker worker(String name, long freeMillicores) {
        return worker(name, "north", freeMillicores);
    }

    private static Worker worker(String name, String failureDomain, long freeMillicores) {
        Worker worker = new Worker(name, 0);
        worker.linkOpened(name);
        worker.recordReport(
                new Worker.Report(
                        "boot",
                        "reports",
                        CAPACITY,
                        new Room(freeMillicores, 99_999, 0),
                        true,
                        List.of("a"),
                        failureDomain,
                        0),
                0);
        return worker;
    }

    private static Task task(String job) {
        return new Job(Jobs.of(job, 1), 0).tasks().getFirst();
    }

    /** Tasks placed on fuller workers would wait there while others are idle. */
    @Test
    void placesOnTheWorkerWithTheMostRoom() {
        List<Worker> workers = List.of(worker("a", 20_000), worker("b", 30_000), worker("c", 5_000));
        assertThat(POLICY.newPass(workers, 1).choose(task("j")).map(Worker::process), is(Optional.of("b")));
    }

    private static Task task(String job, StepTraits traits) {
        QueueTerms terms = new QueueTerms("queue", "reports", 2, 0, 1.6, 60);
        StepSpecification step = new StepSpecification(2, Jobs.SIX_CORES, 100, List.of(), traits);
        return new Job(new JobSpecification(job, terms, "payload", 0, List.of(step)), 0)
                .tasks()
                .getFirst();
    }

    private static StepTraits traits(String label, String rack, int maximumPerWorker) {
        return new StepTraits(false, false, false, label, rack, maximumPerWorker, false, false, "", 0);
    }

    /** Without its label a worker must not get the task, however much room it has. */
    @Test
    void placesOnlyOnWorkersWithTheRequiredLabel() {
        List<Worker> workers = List.of(worker("a", 60_000));
        assertThat(
                POLICY.newPass(workers, 1).choose(task("j", traits("a", "", 0))).isPresent(), is(true));
        assertThat(POLICY.newPass(workers, 1).choose(task("j", traits("b", "", 0))), is(Optional.empty()));
    }

    /** The step allows one task per worker, and the only worker already runs one. */
    @Test
    void placesNoMoreTasksOfAStepOnAWorkerThanAllowed() {
        Worker worker = worker("a", 60_000);
        Task first = task("j", traits("", "", 1));
        worker.send(first, 1, 1);
        Task second = first.job().tasks().getLast();
        assertThat(POLICY.newPass(List.of(worker), 1).choose(second), is(Optional.empty()));
    }

    /** The data of the task is on one rack. A worker there is preferred to one elsewhere with more free room. */
    @Test
    void prefersTheRackOfTheData() {
        Worker near = new Worker("near", 0);
        near.linkOpened("near");
        near.recordReport(
                new Worker.Report(
                        "boot",
                        "reports",
                        CAPACITY,
                        new Room(7_000, 99_999, 0),
                        true,
                        List.of("a", "rack-2"),
                        "north",
                        0),
                0);
        List<Worker> workers = List.of(worker("far", 60_000), near);
        assertThat(POLICY.newPass(workers, 1).choose(task("j", traits("", "rack-2", 0))), is(Optional.of(near)));
    }

    /** The agent's report is older than the entry's last start, so the reported free room is partly taken. */
    @Test
    void subtractsOwnStartsThatTheAgentHasNotReportedYet() {
        Worker worker = worker("a", 11_000);
        worker.send(task("j"), 1, 1);
        assertThat(POLICY.newPass(List.of(worker), 1).choose(task("k")), is(Optional.empty()));
    }

    /**
     * Under full load, eight workers report room for one task each, and three entries learn of it at once. If all chose
     * the same worker, two of three starts would be refused; with a random choice it is about one in four.
     */
    @Test
    void entriesRarelyChooseTheSameWorkerWhenRoomIsScarce() {
        List<Worker> workers = new ArrayList<>();
        for (int number = 0; number < 8; number++) {
            workers.add(worker("w" + number, 6_000 + 100 * number));
        }
        List<PlacementPolicy> entries = new ArrayList<>();
        for (int number = 0; number < 3; number++) {
            entries.add(new PlacementPolicy("north", new SplittableRandom(number)));
        }
        int refused = 0;
        for (int round = 0; round < 1_000; round++) {
            Set<Worker> chosen = new HashSet<>();
            for (PlacementPolicy entry : entries) {
                chosen.add(entry.newPass(workers, 1).choose(task("j")).orElseThrow());
            }
            refused += entries.size() - chosen.size();
        }
        assertThat(refused, lessThan(700));
    }

    /**
     * Frames between failure domains are charged for, so a nearby worker is preferred to one that is only slightly
     * emptier.
     */
    @Test
    void prefersAWorkerOfItsOwnFailureDomain() {
        PlacementPolicy policy = new PlacementPolicy("north", new SplittableRandom(1));
        Worker far = worker("far", "south", 33_000);
        assertThat(
                policy.newPass(List.of(far, worker("near", 30_000)), 1)
                        .choose(task("j"))
                        .map(Worker::process),
                is(Optional.of("near")));
        assertThat(
                policy.newPass(List.of(far, worker("near", 20_000)), 1)
                        .choose(task("j"))
                        .map(Worker::process),
                is(Optional.of("far")));
    }

    /**
     * One worker fails every run, and so always has the most free room and would get every task. After failures of
     * three different jobs it gets no starts while another worker has room.
     */
    @Test
    void avoidsAWorkerThatFailsEveryRun() {
        Worker failing = worker("bad", 60_000);
        Worker healthy = worker("good", 7_000);
        for (String job : List.of("j1", "j2", "j3")) {
            assertThat(POLICY.newPass(List.of(failing, healthy), 1).choose(task("k")), is(Optional.of(failing)));
            failing.health().recordFailedRun(job, 1);
        }
        assertThat(POLICY.newPass(List.of(failing, healthy), 1).choose(task("k")), is(Optional.of(healthy)));
        long afterAvoidance = WorkerHealth.AVOIDANCE_TIME.toNanos() + 2;
        assertThat(
                POLICY.newPass(List.of(failing, healthy), afterAvoidance).choose(task("k")), is(Optional.of(failing)));
    }

    /**
     * One worker is slowed to a sixth of its speed. Its runs last more than three times their estimate while those
     * elsewhere end in time. After three such runs it gets no starts while others have room, and some seconds later it
     * is tried again.
     */
    @Test
    void avoidsAWorkerWhoseRunsLastTooLong() {
        Worker slow = worker("slow", 60_000);
        Worker healthy = worker("good", 7_000);
        for (String job : List.of("j1", "j2", "j3")) {
            slow.send(task(job), 1, 0);
        }
        long now = Duration.ofMillis(300).toNanos();
        assertThat(slow.markNewlyOverdue(now).size(), is(0));
        now = Duration.ofMillis(400).toNanos();
        assertThat(slow.markNewlyOverdue(now).size(), is(3));
        assertThat(slow.markNewlyOverdue(now).size(), is(0));
        assertThat(POLICY.newPass(List.of(slow, healthy), now).choose(task("k")), is(Optional.of(healthy)));
        long afterAvoidance = now + 2 * WorkerHealth.TIME_CONSTANT.toNanos();
        assertThat(POLICY.newPass(List.of(slow, healthy), afterAvoidance).choose(task("k")), is(Optional.of(slow)));
    }

    /** As estimates are inaccurate, single runs last three times as long, which says nothing about the worker. */
    @Test
    void doesNotAvoidAWorkerForAFewLongRuns() {
        Worker worker = worker("a", 60_000);
        for (int run = 0; run < 20; run++) {
            worker.health().recordInTimeRun(run);
        }
        for (int run = 0; run < 5; run++) {
            worker.health().recordOverdueRun(20 + run);
        }
        assertThat(worker.health().isSlow(), is(false));
    }

    /** Jobs that can never succeed fail on every worker. Such failures must not count against the workers. */
    @Test
    void doesNotAvoidAWorkerForRepeatedFailuresOfOneJob() {
        Worker worker = worker("a", 60_000);
        for (int run = 0; run < 10; run++) {
            worker.health().recordFailedRun("hopeless", run);
        }
        assertThat(worker.health().isAvoided(11), is(false));
    }

    /**
     * In a burst a hundred jobs wait and the oldest can no longer end in time. Jobs that still can come first, by
     * priority and age; otherwise the whole backlog would be late, one job after the other.
     */
    @Test
    void placesJobsThatCanEndInTimeBeforeThoseTooLate() {
        WaitingTasks waiting = new WaitingTasks();
        Job tooLate = new Job(Jobs.of("old", 1, 0, 100), 0, SECOND_NANOS);
        Job urgent = new Job(Jobs.of("urgent", 1, 0, 100), 2 * SECOND_NANOS - SECOND_NANOS / 10, 9 * SECOND_NANOS);
        Job usual = new Job(Jobs.of("usual", 1, 1, 100), 2 * SECOND_NANOS - SECOND_NANOS / 5, 9 * SECOND_NANOS);
        for (Job job : List.of(tooLate, usual, urgent)) {
            waiting.add(job.tasks().getFirst(), 2 * SECOND_NANOS);
        }
        List<String> order = new ArrayList<>();
        for (Task task : waiting.first("reports", 9)) {
            order.add(task.job().specification().id());
        }
        assertThat(order, is(List.of("urgent", "usual", "old")));
    }

    /** A backlog that drains in time is no reason to refuse a job. */
    @Test
    void admitsAJobThatWillStartInTime() {
        Job job = new Job(Jobs.of("j", 2, 0, 200), 0, SECOND_NANOS);
        long halfASecondOfWork = 64_000L / 1_000 * 500;
        assertThat(AdmissionPolicy.refuse(job, 0, halfASecondOfWork, 64_000), is(Optional.empty()));
    }

    /**
     * The backlog takes longer than the caller waits. The caller gets the refusal and retry delay at once, and not at
     * the end of its deadline.
     */
    @Test
    void refusesAJobThatWouldStartTooLate() {
        Job job = new Job(Jobs.of("j", 2, 0, 200), 0, SECOND_NANOS);
        long threeSecondsOfWork = 64_000L / 1_000 * 3_000;
        assertThat(AdmissionPolicy.refuse(job, 0, threeSecondsOfWork, 64_000), is(Optional.of(Duration.ofSeconds(3))));
    }
}
