package org.chivetally.queue.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.chivetally.queue.Job;
import org.chivetally.queue.JobSpecification;
import org.chivetally.queue.Jobs;
import org.chivetally.queue.QueueTerms;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.StepSpecification;
import org.chivetally.queue.StepTraits;
import org.chivetally.queue.Task;
import org.chivetally.queue.share.FairShares;
import org.chivetally.queue.share.QueueLoads;
import org.junit.jupiter.api.Test;

/**
 * Guards the order of placement when queues share the processors of a service: no queue may lose its share to a burst
 * of another, and jobs must not be left half started.
 */
class FairShareOrderTest {
    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long TASK_MILLICORES = Jobs.SIX_CORES.processorMillis();

    private final WaitingTasks waiting = new WaitingTasks(true);
    private final QueueLoads ownLoads = new QueueLoads();

    private Job job(String id, int priority, int tasks, long acceptedAtNanos) {
        return addWaiting(new Job(Jobs.of(id, tasks, priority, 100), acceptedAtNanos, 60 * SECOND_NANOS));
    }

    private Job addWaiting(Job job) {
        for (Task task : job.tasks()) {
            waiting.add(task, 0);
            ownLoads.add(job.specification().terms().queue(), 0, TASK_MILLICORES);
        }
        return job;
    }

    private FairShareOrder order(long capacityMillicores) {
        return waiting.fairShareOrder(
                "reports", new FairShares(capacityMillicores, ownLoads, new QueueLoads()), ownLoads, 64);
    }

    /** Returns the jobs of the tasks in the order in which a pass places them when there is room for all. */
    private static List<String> placeAll(FairShareOrder order, int maximumTasks) {
        List<String> jobs = new ArrayList<>();
        for (Optional<Task> next = order.next(); next.isPresent() && jobs.size() < maximumTasks; next = order.next()) {
            jobs.add(next.get().job().specification().id());
            order.taskPlaced();
        }
        return jobs;
    }

    /**
     * A burst of the queue with the highest priority demands all processors. Ordered by priority alone, the second
     * queue would get nothing until the burst is over, although it demands less than half.
     */
    @Test
    void queueBelowItsSharePrecedesBurstOfHigherPriority() {
        ownLoads.add("queue-0", 6 * TASK_MILLICORES, 0);
        job("burst", 0, 6, 0);
        job("steady", 1, 2, 1);
        assertThat(
                placeAll(order(8 * TASK_MILLICORES), 9),
                contains("steady", "steady", "burst", "burst", "burst", "burst", "burst", "burst"));
    }

    /**
     * Each placed task counts at once, so a queue that reaches its share within a pass leaves the remaining room to the
     * other.
     */
    @Test
    void queueThatReachesItsShareWithinPassYieldsToOthers() {
        job("burst", 0, 6, 0);
        job("steady", 1, 6, 1);
        assertThat(placeAll(order(4 * TASK_MILLICORES), 5), contains("burst", "burst", "steady", "steady", "burst"));
    }

    /** Fair shares must not change the order while there is room for all tasks. */
    @Test
    void orderIsByPriorityAndAgeWhileAllQueuesAreBelowTheirShares() {
        job("late", 0, 2, 5);
        job("first", 0, 1, 0);
        job("other", 1, 1, 0);
        assertThat(placeAll(order(60 * TASK_MILLICORES), 9), contains("first", "late", "late", "other"));
    }

    /**
     * Tasks of jobs that would end too late must not take the room of others, even if their queue is below its share.
     */
    @Test
    void tooLateTasksComeLastRegardlessOfShares() {
        ownLoads.add("queue-0", 6 * TASK_MILLICORES, 0);
        job("burst", 0, 2, 0);
        addWaiting(new Job(Jobs.of("hopeless", 1, 1, 100), 0, SECOND_NANOS / 100));
        assertThat(placeAll(order(6 * TASK_MILLICORES), 9), contains("burst", "burst", "hopeless"));
    }

    /**
     * No worker has the label that the first queue's tasks require. If their misses ended the pass, the other queue
     * would get no room although there is some.
     */
    @Test
    void tasksWithoutEligibleWorkerDoNotEndPassForOtherQueues() {
        StepTraits traits = new StepTraits(false, false, false, "absent", "", 0, false, false, "", 0);
        QueueTerms terms = new QueueTerms("queue-0", "reports", 2, 0, 1.6, 60);
        StepSpecification step = new StepSpecification(20, Jobs.SIX_CORES, 100, List.of(), traits);
        addWaiting(new Job(new JobSpecification("nowhere", terms, "", 0, List.of(step)), 0, 60 * SECOND_NANOS));
        job("fits", 1, 1, 0);
        FairShareOrder order = order(60 * TASK_MILLICORES);
        for (int miss = 0; miss < FairShareOrder.MAXIMUM_MISSES_PER_QUEUE; miss++) {
            assertThat(order.next().orElseThrow().job().specification().id(), is("nowhere"));
            order.noWorkerFound();
        }
        assertThat(order.next().orElseThrow().job().specification().id(), is("fits"));
    }

    /** When all workers are full, a pass would otherwise try each of them for each of the first tasks of each queue. */
    @Test
    void tasksAsLargeAsOneWithoutRoomAreSkipped() {
        job("large", 0, 20, 0);
        job("as-large", 1, 20, 0);
        FairShareOrder order = order(60 * TASK_MILLICORES);
        assertThat(order.next().isPresent(), is(true));
        order.noWorkerFound();
        assertThat(order.next(), is(Optional.empty()));
    }

    /**
     * Of two equal jobs the younger one has a task running. Ordered by age, both jobs would wait for their last task.
     */
    @Test
    void startedJobPrecedesOlderJobThatHasNotStarted() {
        Job older = job("older", 0, 2, 0);
        Job started = job("begun", 0, 2, 1);
        started.recordPlacement(started.tasks().getFirst(), "worker", 1);
        waiting.remove(started.tasks().getFirst());
        waiting.reorder(started, 2);
        assertThat(placeAll(order(60 * TASK_MILLICORES), 9), contains("begun", "older", "older"));
        assertThat(older.tasks().size(), is(2));
    }

    /**
     * All starts of a job were refused. If it still counted as started, it would stay ahead of others, and could wait
     * as long as a running job does.
     */
    @Test
    void jobWhoseStartsWereAllRefusedCountsAsNotStarted() {
        Job older = job("older", 0, 1, 0);
        Job refused = job("turned-down", 0, 2, 1);
        Task first = refused.tasks().getFirst();
        refused.recordPlacement(first, "worker", 1);
        waiting.remove(first);
        waiting.reorder(refused, 2);
        refused.recordRunEnd(first, first.lastRun(), RunOutcome.NEVER_STARTED, 3);
        waiting.add(first, 3);
        waiting.reorder(refused, 3);
        assertThat(placeAll(order(60 * TASK_MILLICORES), 9), contains("older", "turned-down", "turned-down"));
        assertThat(older.tasks().size(), is(1));
    }

    /** Without fair shares, the oldest job comes first, whether it is started or not. */
    @Test
    void oldestJobComesFirstWithoutFairShares() {
        WaitingTasks withoutShares = new WaitingTasks();
        Job older = new Job(Jobs.of("older", 1, 0, 100), 0, 60 * SECOND_NANOS);
        Job started = new Job(Jobs.of("begun", 2, 0, 100), 1, 60 * SECOND_NANOS);
        started.recordPlacement(started.tasks().getFirst(), "worker", 1);
        withoutShares.add(started.tasks().getLast(), 2);
        withoutShares.add(older.tasks().getFirst(), 2);
        withoutShares.reorder(started, 2);
        assertThat(withoutShares.first("reports", 9).getFirst().job(), is(older));
    }
}
