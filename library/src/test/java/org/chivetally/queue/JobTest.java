package org.chivetally.queue;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.chivetally.wire.v1.StoredProgress;
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
            job.recordRunEnd(task, task.lastRun(), RunOutcome.DONE, 5);
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
        assertThat(job.recordRunEnd(task, task.lastRun(), RunOutcome.FAILED, 5), is(List.of(task)));
        job.recordPlacement(task, "agent", 2);
        assertThat(job.recordRunEnd(task, task.lastRun(), RunOutcome.FAILED, 6), is(empty()));
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
            assertThat(job.recordRunEnd(task, task.lastRun(), outcome, 5), is(List.of(task)));
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
        job.recordRunEnd(first, first.lastRun(), RunOutcome.NEVER_STARTED, 5);
        assertThat(job.phase(), is(JobPhase.RUNNING));
        job.recordRunEnd(second, second.lastRun(), RunOutcome.NEVER_STARTED, 5);
        assertThat(job.phase(), is(JobPhase.QUEUED));
        job.recordPlacement(first, "agent", 2);
        job.recordRunEnd(first, first.lastRun(), RunOutcome.LOST, 6);
        assertThat(job.phase(), is(JobPhase.RUNNING));
    }

    /** A step must not start while a task of the step that it depends on is unfinished. */
    @Test
    void unblocksAStepOnlyAfterAllTasksOfThePrecedingStepAreDone() {
        Job job = new Job(Jobs.chain(ID, 2, 3), 0);
        assertThat(job.tasksIn(Task.Status.WAITING), hasSize(2));
        List<Task> firstStep = job.tasksIn(Task.Status.WAITING);
        job.recordPlacement(firstStep.get(0), "agent", 1);
        assertThat(job.recordRunEnd(firstStep.get(0), firstStep.get(0).lastRun(), RunOutcome.DONE, 5), is(empty()));
        job.recordPlacement(firstStep.get(1), "agent", 1);
        assertThat(job.recordRunEnd(firstStep.get(1), firstStep.get(1).lastRun(), RunOutcome.DONE, 6), hasSize(3));
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
        original.recordRunEnd(done, done.lastRun(), RunOutcome.DONE, 5);

        Job restored = new Job(Jobs.chain(ID, 2, 1), 0);
        restored.restore(JobCodec.decodeProgress(JobCodec.encode(original.progress())), 129);
        assertThat(restored.tasks().get(0).status(), is(Task.Status.DONE));
        assertThat(restored.tasks().get(1).status(), is(Task.Status.UNCERTAIN));
        assertThat(restored.tasks().get(2).status(), is(Task.Status.BLOCKED));
        assertThat(restored.tasks().get(1).lastRun(), is(128L));
    }

    /** A failure that the next owner can't attribute to its run would count again when its end is reported again. */
    @Test
    void failedRunsAreKnownByNumberAfterARestore() {
        Job original = new Job(Jobs.of(ID, 1), 0);
        Task failed = original.tasks().getFirst();
        original.recordPlacement(failed, "agent", 3);
        original.recordRunEnd(failed, 3, RunOutcome.FAILED, 5);
        original.recordRunEnd(failed, 3, RunOutcome.FAILED, 6);

        Job restored = new Job(Jobs.of(ID, 1), 0);
        restored.restore(JobCodec.decodeProgress(JobCodec.encode(original.progress())), 129);
        Task task = restored.tasks().getFirst();
        assertThat(task.failures(), is(1));
        assertThat(task.hasFailedIn(3), is(true));
        assertThat(task.hasFailedIn(4), is(false));
    }

    /** If the next owner gave a run the number of a failed one, the new run's failure would not count. */
    @Test
    void runNumbersExceedThoseOfFailedRunsAfterARestore() {
        Job original = new Job(Jobs.of(ID, 1), 0);
        Task failed = original.tasks().getFirst();
        original.recordPlacement(failed, "agent", 130);
        original.recordRunEnd(failed, 130, RunOutcome.FAILED, 5);

        Job restored = new Job(Jobs.of(ID, 1), 0);
        restored.restore(JobCodec.decodeProgress(JobCodec.encode(original.progress())), 129);
        assertThat(restored.tasks().getFirst().lastRun(), is(130L));
    }

    /** Failures stored by a release that did not store their run numbers must still use up attempts. */
    @Test
    void readsFailuresStoredWithoutRunNumbers() {
        byte[] record = StoredProgress.newBuilder()
                .setPhase(org.chivetally.wire.v1.JobPhase.JOB_PHASE_RUNNING)
                .putFailures(0, 1)
                .build()
                .toByteArray();
        Job restored = new Job(Jobs.of(ID, 1), 0);
        restored.restore(JobCodec.decodeProgress(record), 129);
        Task task = restored.tasks().getFirst();
        assertThat(task.failures(), is(1));
        restored.recordPlacement(task, "agent", 129);
        restored.recordRunEnd(task, 129, RunOutcome.FAILED, 5);
        assertThat(restored.phase(), is(JobPhase.FAILED));
    }

    /** A part of a specification that is not encoded would be lost when another process takes over the job. */
    @Test
    void specificationSurvivesEncodingAndDecoding() {
        JobSpecification job = Jobs.chain(ID, 2, 1);
        assertThat(JobCodec.decodeJob(JobCodec.encode(job).toByteArray()), is(job));
    }
}
