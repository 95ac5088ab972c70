package org.chivetally.queue.entry;

import java.util.Optional;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.Task;
import org.chivetally.queue.TaskKey;

/** Where the jobs of runs are known. */
interface JobOwner {
    /** Returns a task of a job that hasn't ended. */
    Optional<Task> task(TaskKey key);

    /**
     * Notes the end of a task's newest run.
     *
     * @param kept run once the minion may forget the end
     */
    void ended(Task task, RunOutcome outcome, Runnable acknowledge);

    /**
     * Notes that an end was told that changes nothing any more: it was told before, or its run was given up.
     *
     * @param kept run once the minion may forget the end; never, if it is to be told again
     */
    void reportedAgain(Task task, Runnable acknowledge);

    /**
     * Notes that a minion crashed under a run that nobody here follows any more.
     *
     * @param kept run once the agent may forget the crash
     */
    default void earlierRunCrashed(Task task, long run, Runnable acknowledge) {
        reportedAgain(task, acknowledge);
    }

    /** Returns what agents check orders for these runs by. */
    FencingToken fencingToken();

    /**
     * By what right runs are started and stopped.
     *
     * @param partition partition of the job; 0 where the job isn't kept
     * @param epoch epoch of the partition's owner; 0 where the job isn't kept
     * @param inMemory whether only this entry knows the job
     */
    record FencingToken(int partition, long epoch, boolean inMemory) {
        /** Right of the entry that alone knows a job. */
        static final FencingToken IN_MEMORY = new FencingToken(0, 0, true);
    }
}
