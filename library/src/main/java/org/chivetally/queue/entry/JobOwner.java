package org.chivetally.queue.entry;

import java.util.Optional;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.Task;
import org.chivetally.queue.TaskKey;

/** Owner of jobs: handles the ends of their runs. */
interface JobOwner {
    /** Returns a task of a job that hasn't ended. */
    Optional<Task> task(TaskKey key);

    /**
     * Handles the end of a task's run in progress.
     *
     * @param run number of the run
     * @param acknowledge run once the minion may discard the end
     */
    void ended(Task task, long run, RunOutcome outcome, Runnable acknowledge);

    /**
     * Handles a reported end that has no effect any more, since it was reported before or its run counts as lost.
     *
     * @param acknowledge run once the minion may discard the end; not run if the end has to be reported again
     */
    void reportedAgain(Task task, Runnable acknowledge);

    /**
     * Handles the failure of a run that is no longer tracked here.
     *
     * @param run number of that run, which has not been counted yet
     * @param worker name of the worker that reports the failure
     * @param acknowledge run once the minion may discard the end
     */
    default void earlierRunFailed(Task task, long run, String worker, Runnable acknowledge) {
        reportedAgain(task, acknowledge);
    }

    /**
     * Handles the crash of a minion under a run that is no longer tracked here.
     *
     * @param run number of that run
     * @param acknowledge run once the agent may discard the crash
     */
    default void earlierRunCrashed(Task task, long run, Runnable acknowledge) {
        reportedAgain(task, acknowledge);
    }

    /** Places a task again whose start was held back, or that waits, if it may be started now. */
    void reconsider(Task task);

    /** Returns the token that agents check before they execute orders for these runs. */
    FencingToken fencingToken();

    /**
     * Ownership under which runs are started and stopped. Agents reject the orders of an owner that has been
     * superseded.
     *
     * @param partition partition of the job; 0 for an in-memory job
     * @param epoch epoch of the partition's owner; 0 for an in-memory job
     * @param inMemory whether the job is held in the memory of the sending entry only
     */
    record FencingToken(int partition, long epoch, boolean inMemory) {
        /** Token of all in-memory jobs, which have no partition. */
        static final FencingToken IN_MEMORY = new FencingToken(0, 0, true);
    }
}
