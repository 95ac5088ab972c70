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
import org.chivetally.queue.share.Division;
import org.chivetally.queue.share.QueueLoads;
import org.junit.jupiter.api.Test;

class TurnsTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final long TASK = Jobs.SIX_CORES.processorMillis();

    private final WaitingTasks waiting = new WaitingTasks(true);
    private final QueueLoads own = new QueueLoads();

    private Job job(String id, int priority, int tasks, long acceptedAtNanos) {
        return waits(new Job(Jobs.of(id, tasks, priority, 100), acceptedAtNanos, 60 * SECOND));
    }

    private Job waits(Job job) {
        for (Task task : job.tasks()) {
            waiting.add(task, 0);
            own.add(job.specification().terms().queue(), 0, TASK);
        }
        return job;
    }

    private Turns turns(long capacityMillis) {
        return waiting.turns("reports", new Division(capacityMillis, own, new QueueLoads()), own, 64);
    }

    /** Returns the jobs of the tasks that a pass with room for all of them places, in order. */
    private static List<String> placed(Turns turns, int most) {
        List<String> order = new ArrayList<>();
        for (Optional<Task> next = turns.next(); next.isPresent() && order.size() < most; next = turns.next()) {
            order.add(next.get().job().specification().id());
            turns.placed();
        }
        return order;
    }

    /**
     * A burst of the first queue by priority asks for all there is. In the usual order the second queue would get
     * nothing until the burst is over, though it asks for less than half.
     */
    @Test
    void aQueueBelowItsShareGoesBeforeABurstOfHigherPriority() {
        own.add("queue-0", 6 * TASK, 0);
        job("burst", 0, 6, 0);
        job("steady", 1, 2, 1);
        assertThat(
                placed(turns(8 * TASK), 9),
                contains("steady", "steady", "burst", "burst", "burst", "burst", "burst", "burst"));
    }

    /** Each placed task counts at once: a queue that reaches its share within a pass leaves the rest to the other. */
    @Test
    void aQueueThatReachesItsShareInThePassGivesWay() {
        job("burst", 0, 6, 0);
        job("steady", 1, 6, 1);
        assertThat(placed(turns(4 * TASK), 5), contains("burst", "burst", "steady", "steady", "burst"));
    }

    @Test
    void theOrderIsTheUsualOneWhileThereIsRoomForAll() {
        job("late", 0, 2, 5);
        job("first", 0, 1, 0);
        job("other", 1, 1, 0);
        assertThat(placed(turns(60 * TASK), 9), contains("first", "late", "late", "other"));
    }

    /** Jobs that nobody counts as served any more must not take the room of others by their queue's share. */
    @Test
    void hopelessTasksComeLastWhateverTheirQueueHolds() {
        own.add("queue-0", 6 * TASK, 0);
        job("burst", 0, 2, 0);
        waits(new Job(Jobs.of("hopeless", 1, 1, 100), 0, SECOND / 100));
        assertThat(placed(turns(6 * TASK), 9), contains("burst", "burst", "hopeless"));
    }

    /** The first queue's tasks fit nowhere, as there is no worker with their label; the other queue has room. */
    @Test
    void tasksThatNoWorkerMayRunDoNotEndThePassForOtherQueues() {
        StepTraits traits = new StepTraits(false, false, false, "absent", "", 0, false, false, "", 0);
        QueueTerms terms = new QueueTerms("queue-0", "reports", 2, 0, 1.6, 60);
        StepSpecification step = new StepSpecification(20, Jobs.SIX_CORES, 100, List.of(), traits);
        waits(new Job(new JobSpecification("nowhere", terms, "", 0, List.of(step)), 0, 60 * SECOND));
        job("fits", 1, 1, 0);
        Turns turns = turns(60 * TASK);
        for (int miss = 0; miss < Turns.MISSES_PER_QUEUE; miss++) {
            assertThat(turns.next().orElseThrow().job().specification().id(), is("nowhere"));
            turns.missed();
        }
        assertThat(turns.next().orElseThrow().job().specification().id(), is("fits"));
    }

    /** With all workers full a pass would look at each of them for each of the first tasks of each queue. */
    @Test
    void tasksThatNeedAsMuchAsOneWithoutRoomAreNotLookedAt() {
        job("large", 0, 20, 0);
        job("as-large", 1, 20, 0);
        Turns turns = turns(60 * TASK);
        assertThat(turns.next().isPresent(), is(true));
        turns.missed();
        assertThat(turns.next(), is(Optional.empty()));
    }

    /** Of two equal jobs one has a task running. Placed by age, both would wait for their last task. */
    @Test
    void aJobThatHasBegunIsEndedBeforeAnotherBegins() {
        Job older = job("older", 0, 2, 0);
        Job begun = job("begun", 0, 2, 1);
        begun.recordPlacement(begun.tasks().getFirst(), "worker", 1);
        waiting.remove(begun.tasks().getFirst());
        waiting.reorder(begun, 2);
        assertThat(placed(turns(60 * TASK), 9), contains("begun", "older", "older"));
        assertThat(older.tasks().size(), is(2));
    }

    /**
     * All starts of a job were turned down. Kept before the others, it would go on with the longer wait of a running
     * job.
     */
    @Test
    void aJobWhoseStartsWereAllTurnedDownHasNotBegun() {
        Job older = job("older", 0, 1, 0);
        Job turnedDown = job("turned-down", 0, 2, 1);
        Task first = turnedDown.tasks().getFirst();
        turnedDown.recordPlacement(first, "worker", 1);
        waiting.remove(first);
        waiting.reorder(turnedDown, 2);
        turnedDown.recordRunEnd(first, RunOutcome.NEVER_STARTED, 3);
        waiting.add(first, 3);
        waiting.reorder(turnedDown, 3);
        assertThat(placed(turns(60 * TASK), 9), contains("older", "turned-down", "turned-down"));
        assertThat(older.tasks().size(), is(1));
    }

    /** Without shares, the order must stay as it was: the oldest first, begun or not. */
    @Test
    void withoutSharesTheOldestJobGoesFirst() {
        WaitingTasks plain = new WaitingTasks();
        Job older = new Job(Jobs.of("older", 1, 0, 100), 0, 60 * SECOND);
        Job begun = new Job(Jobs.of("begun", 2, 0, 100), 1, 60 * SECOND);
        begun.recordPlacement(begun.tasks().getFirst(), "worker", 1);
        plain.add(begun.tasks().getLast(), 2);
        plain.add(older.tasks().getFirst(), 2);
        plain.reorder(begun, 2);
        assertThat(plain.first("reports", 9).getFirst().job(), is(older));
    }
}
