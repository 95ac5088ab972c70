package org.chivetally.queue;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the phases of jobs, the statuses of their tasks, and the restore of both from the log. */
class JobTest {
    private static final String ID = "00000000000000a1";

    /** A caller must not receive a result that is lost if the owner ends before it has stored it. */
    @Test
    void reportsCompletionOnlyAfterItIsStored() {
        Job job = new Job(Jobs.of(ID, 2), 0);
        for (Task task : job.tasks()) {
            job.recordPlacement(task, "agent", 1);
            job.recordRunEnd(task, RunOutcome.DONE, 5);
        }
        assertThat(job.phase(), is(JobPhase.COMPLETED));
        assertThat(job.reportedPhase(), is(JobPhase.RUNNING));
        job.markEndStored();
        assertThat(job.reportedPhase(), is(JobPhase.COMPLETED));
    }

    /** A task that always fails must not be retried forever. */
    @Test
    void failsAfterTheMaximumNumberOfFailedRunsOfATask() {
        Job job = new Job(Jobs.of(ID, 2), 0);
        Task task = job.tasks().getFirst();
        job.recordPlacement(task, "agent", 1);
        assertThat(job.recordRunEnd(task, RunOutcome.FAILED, 5), is(List.of(task)));
        job.recordPlacement(task, "agent", 2);
        assertThat(job.recordRunEnd(task, RunOutcome.FAILED, 6), is(empty()));
        assertThat(job.phase(), is(JobPhase.FAILED));
    }

    /** Runs that end for reasons outside the task must not use up its attempts. */
    @Test
    void doesNotCountStoppedLapsedOrLostRunsAsFailures() {
        Job job = new Job(Jobs.of(ID, 1), 0);
        Task task = job.tasks().getFirst();
        for (RunOutcome outcome :
                List.of(RunOutcome.STOPPED, RunOutcome.LAPSED, RunOutcome.LOST, RunOutcome.NEVER_STARTED)) {
            job.recordPlacement(task, "agent", task.lastRun() + 1);
            assertThat(job.recordRunEnd(task, outcome, 5), is(List.of(task)));
        }
        assertThat(task.failures(), is(0));
        assertThat(job.phase(), is(JobPhase.RUNNING));
    }

    /**
     * All starts of a job were rejected for lack of capacity. The job has not run and can be refused as such; once any
     * run may have started, reporting it as not run could be wrong.
     */
    @Test
    void returnsToQueuedOnlyIfNoRunCanHaveStarted() {
        Job job = new Job(Jobs.of(ID, 2), 0, 9_000_000_000L);
        Task first = job.tasks().getFirst();
        Task second = job.tasks().getLast();
        job.recordPlacement(first, "agent", 1);
        job.recordPlacement(second, "agent", 1);
        job.recordRunEnd(first, RunOutcome.NEVER_STARTED, 5);
        assertThat(job.phase(), is(JobPhase.RUNNING));
        job.recordRunEnd(second, RunOutcome.NEVER_STARTED, 5);
        assertThat(job.phase(), is(JobPhase.QUEUED));
        job.recordPlacement(first, "agent", 2);
        job.recordRunEnd(first, RunOutcome.LOST, 6);
        assertThat(job.phase(), is(JobPhase.RUNNING));
    }

    /** A step must not start while a task of the step that it depends on is unfinished. */
    @Test
    void unblocksAStepOnlyAfterAllTasksOfThePrecedingStepAreDone() {
        Job job = new Job(Jobs.chain(ID, 2, 3), 0);
        assertThat(job.tasksIn(Task.Status.WAITING), hasSize(2));
        List<Task> firstStep = job.tasksIn(Task.Status.WAITING);
        job.recordPlacement(firstStep.get(0), "agent", 1);
        assertThat(job.recordRunEnd(firstStep.get(0), RunOutcome.DONE, 5), is(empty()));
        job.recordPlacement(firstStep.get(1), "agent", 1);
        assertThat(job.recordRunEnd(firstStep.get(1), RunOutcome.DONE, 6), hasSize(3));
    }

    /**
     * An owner ends after it has started tasks that are not recorded in the log. If the next owner considered them as
     * waiting, they would run twice. Its run numbers must also exceed all numbers of the previous owner.
     */
    @Test
    void marksReadyTasksAsUncertainAfterARestore() {
        Job original = new Job(Jobs.chain(ID, 2, 1), 0);
        Task done = original.tasks().getFirst();
        original.recordPlacement(done, "agent", 1);
        original.recordRunEnd(done, RunOutcome.DONE, 5);

        Job restored = new Job(Jobs.chain(ID, 2, 1), 0);
        restored.restore(JobCodec.decodeProgress(JobCodec.encode(original.progress())), 129);
        assertThat(restored.tasks().get(0).status(), is(Task.Status.DONE));
        assertThat(restored.tasks().get(1).status(), is(Task.Status.UNCERTAIN));
        assertThat(restored.tasks().get(2).status(), is(Task.Status.BLOCKED));
        assertThat(restored.tasks().get(1).lastRun(), is(128L));
    }

    /** A part of a specification that is not encoded would be lost when another process takes over the job. */
    @Test
    void specificationSurvivesEncodingAndDecoding() {
        JobSpecification job = Jobs.chain(ID, 2, 1);
        assertThat(JobCodec.decodeJob(JobCodec.encode(job).toByteArray()), is(job));
    }
}
