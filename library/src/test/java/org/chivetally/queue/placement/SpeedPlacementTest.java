package org.chivetally.queue.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.chivetally.queue.Job;
import org.chivetally.queue.JobSpecification;
import org.chivetally.queue.Jobs;
import org.chivetally.queue.QueueTerms;
import org.chivetally.queue.Room;
import org.chivetally.queue.StepSpecification;
import org.chivetally.queue.StepTraits;
import org.chivetally.queue.Task;
import org.chivetally.queue.crash.CrashPolicy;
import org.chivetally.queue.speed.LearnedStretch;
import org.junit.jupiter.api.Test;

/** Placement by learned speeds, one decision at a time: workers of stretch 0.6 and 1.5, tasks of six cores. */
class SpeedPlacementTest {
    private static final Room CAPACITY = new Room(60_000, 131_072, 0);
    private static final long MILLISECOND_NANOS = 1_000_000;

    /** Free room that is not scarce, on a worker that is partly used. */
    private static final int SPARE_MILLICORES = 30_000;

    /** Free room for one task, which is scarce and so contended by all entries. */
    private static final int SCARCE_MILLICORES = 7_000;

    /** Free room that is too small for any task. */
    private static final int FULL_MILLICORES = 1_000;

    private final PlacementPolicy policy =
            new PlacementPolicy("north", new SplittableRandom(1), true, CrashPolicy.NONE);
    private final List<Worker> workers = new ArrayList<>();

    private Worker worker(String kind, int freeMillicores, String... labels) {
        Worker worker = new Worker(kind + workers.size(), 0);
        worker.linkOpened(worker.process());
        List<String> allLabels = new ArrayList<>(List.of(kind));
        allLabels.addAll(List.of(labels));
        worker.recordReport(
                new Worker.Report(
                        "boot", "reports", CAPACITY, new Room(freeMillicores, 99_999, 0), true, allLabels, "north", 0),
                0);
        worker.learnedStretch(new LearnedStretch(kind.equals("fast") ? 600 : 1_500, 60));
        workers.add(worker);
        return worker;
    }

    private static Task task(int estimatedMillis) {
        return new Job(Jobs.of("job", 1, 0, estimatedMillis), 0).tasks().getFirst();
    }

    private PlacementDecision decide(Task task, long afterMillis) {
        return policy.newPass(workers, afterMillis * MILLISECOND_NANOS).decide(task, 1, 1);
    }

    private String chosenKind(Task task, long afterMillis) {
        PlacementDecision decision = decide(task, afterMillis);
        return decision.deferred()
                ? "waits"
                : decision.worker().map(Worker::kind).orElse("no room");
    }

    /** The slow worker has more free room, but is not needed while the fast one has spare room. */
    @Test
    void prefersFastWorkersWhileTheyHaveRoomToSpare() {
        worker("slow", 60_000);
        worker("fast", SPARE_MILLICORES);
        assertThat(chosenKind(task(50), 0), is("fast"));
        assertThat(chosenKind(task(2_000), 0), is("fast"));
    }

    /**
     * The last room of fast workers is left to tasks that need it. A task of 50 ms lasts 75 ms on a slow worker, well
     * within its objective of 140 ms. A task of 2 s lasts 3 s there, too close to its objective of 3.26 s.
     */
    @Test
    void reservesScarceFastRoomForTasksThatWouldBeLateElsewhere() {
        worker("slow", SPARE_MILLICORES);
        worker("fast", SCARCE_MILLICORES);
        assertThat(chosenKind(task(50), 0), is("slow"));
        assertThat(chosenKind(task(2_000), 0), is("fast"));
    }

    /** When half of the objective has passed, even a short task would be late on a slow worker. */
    @Test
    void placesTasksOfADelayedJobOnFastWorkers() {
        worker("slow", SPARE_MILLICORES);
        worker("fast", SCARCE_MILLICORES);
        assertThat(chosenKind(task(50), 60), is("fast"));
    }

    /** Under overload, leaving fast workers to later tasks makes more tasks late than it saves. */
    @Test
    void choosesTheFastestWorkerWhenAllRoomIsScarce() {
        worker("slow", SCARCE_MILLICORES);
        worker("fast", SCARCE_MILLICORES);
        assertThat(chosenKind(task(50), 0), is("fast"));
        assertThat(chosenKind(task(2_000), 0), is("fast"));
    }

    private Worker busyFastWorker(int estimatedMillis) {
        Worker fast = worker("fast", (int) (FULL_MILLICORES + 9 * Jobs.SIX_CORES.processorMillis()));
        for (int run = 0; run < 9; run++) {
            fast.send(
                    new Job(Jobs.of("run-" + run, 1, 0, estimatedMillis), 0)
                            .tasks()
                            .getFirst(),
                    1,
                    0);
        }
        return fast;
    }

    /**
     * The fast worker ends a run of 30 ms every 3 ms. A task that has waited 0.4 s would end after 3.4 s on the slow
     * worker, past its objective of 3.26 s, and gets room on the fast worker in time.
     */
    @Test
    void waitsForAFastWorkerThatWillHaveRoomInTime() {
        worker("slow", SPARE_MILLICORES);
        busyFastWorker(50);
        assertThat(chosenKind(task(2_000), 400), is("waits"));
        assertThat(chosenKind(task(50), 0), is("slow"));
    }

    /** On the slow worker, the task is late only if its estimate is too low, which is no reason to wait. */
    @Test
    void doesNotWaitWhenTheTaskIsExpectedInTime() {
        worker("slow", SPARE_MILLICORES);
        busyFastWorker(50);
        assertThat(chosenKind(task(2_000), 0), is("slow"));
    }

    /**
     * Runs of several seconds use the fast worker. The task would be late there too, so it is placed where there is
     * room.
     */
    @Test
    void choosesASlowWorkerWhenWaitingDoesNotHelp() {
        worker("slow", SPARE_MILLICORES);
        busyFastWorker(60_000);
        assertThat(chosenKind(task(2_000), 0), is("slow"));
    }

    /** The job misses its objective on any worker but is still worth something. */
    @Test
    void choosesASlowWorkerForAJobThatIsLateOnAnyWorker() {
        worker("slow", SPARE_MILLICORES);
        busyFastWorker(50);
        assertThat(chosenKind(task(2_000), 3_000), is("slow"));
    }

    /**
     * Tasks that wait for the same fast worker get its room one after another, so each of them adds to the wait of the
     * next.
     */
    @Test
    void accountsForTasksAlreadyWaitingForAFastWorker() {
        worker("slow", 60_000);
        busyFastWorker(2_000);
        PlacementPolicy.Pass pass = policy.newPass(workers, 400 * MILLISECOND_NANOS);
        int deferred = 0;
        while (deferred < 100 && pass.decide(task(2_000), 1, 1).deferred()) {
            deferred++;
        }
        assertThat(deferred > 1 && deferred < 20, is(true));
    }

    /** The rack of a task's data outweighs speed, as it outweighs free room. */
    @Test
    void prefersTheRackOfTheDataOverSpeed() {
        worker("slow", SPARE_MILLICORES, "rack-2");
        worker("fast", SPARE_MILLICORES, "rack-1");
        QueueTerms terms = new QueueTerms("queue", "reports", 2, 0, 1.6, 60);
        StepTraits traits = new StepTraits(false, false, false, "", "rack-2", 0, false, false, "", 0);
        StepSpecification step = new StepSpecification(1, Jobs.SIX_CORES, 50, List.of(), traits);
        Job job = new Job(new JobSpecification("job", terms, "payload", 0, List.of(step)), 0);
        assertThat(chosenKind(job.tasks().getFirst(), 0), is("slow"));
    }

    /** Without an estimate nothing is known about the end of the task on either worker. */
    @Test
    void placesByFreeRoomWithoutAnEstimate() {
        worker("slow", 60_000);
        worker("fast", SPARE_MILLICORES);
        assertThat(chosenKind(task(0), 0), is("slow"));
        assertThat(decide(task(0), 0).bySpeed(), is(false));
    }

    /** The queue's slack factor exceeds the ratio between slow and fast workers, so speeds don't matter. */
    @Test
    void placesByFreeRoomWhenTheSlackFactorCoversTheSpread() {
        worker("slow", 60_000);
        worker("fast", SPARE_MILLICORES);
        QueueTerms terms = new QueueTerms("queue", "reports", 2, 0, 3, 60);
        StepSpecification step = new StepSpecification(1, Jobs.SIX_CORES, 50, List.of(), StepTraits.NONE);
        Job job = new Job(new JobSpecification("job", terms, "payload", 0, List.of(step)), 0);
        assertThat(chosenKind(job.tasks().getFirst(), 0), is("slow"));
    }

    /**
     * Workers come and go between two computations of the speeds. Classes of an earlier set of workers must not be used
     * for the current one.
     */
    @Test
    void recomputesClassesWhenWorkersComeAndGo() {
        Worker slow = worker("slow", SPARE_MILLICORES);
        Worker fast = worker("fast", SPARE_MILLICORES);
        assertThat(chosenKind(task(50), 0), is("fast"));
        workers.remove(fast);
        assertThat(chosenKind(task(50), 1), is("slow"));
        workers.remove(slow);
        workers.add(fast);
        assertThat(chosenKind(task(50), 2), is("fast"));
        workers.clear();
        assertThat(chosenKind(task(50), 3), is("no room"));
    }

    /** A slow kind of worker is not unhealthy: its runs usually last 2.5 times as long as on the fast kind. */
    @Test
    void doesNotTreatASlowKindAsUnhealthy() {
        Worker slow = worker("slow", SPARE_MILLICORES);
        worker("fast", SPARE_MILLICORES);
        policy.newPass(workers, 0);
        slow.send(task(1_000), 1, 0);
        assertThat(slow.markNewlyOverdue(3_500 * MILLISECOND_NANOS).size(), is(0));
        assertThat(slow.markNewlyOverdue(4_900 * MILLISECOND_NANOS).size(), is(1));
    }
}
