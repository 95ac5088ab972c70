package org.chivetally.queue.entry;

import java.util.Collection;
import java.util.Optional;
import org.chivetally.queue.Job;
import org.chivetally.queue.JobAnswer;
import org.chivetally.queue.Task;

/** Callbacks of a {@link PartitionOwner} into its entry. */
interface PartitionEvents {
    /** Returns the refusal for the job's caller; empty if the job is accepted. */
    Optional<JobAnswer.Refused> refuse(Job job);

    /** The jobs of the partition are loaded; agents have to report which of their runs they hold. */
    void loaded(PartitionOwner partition);

    /** Returns whether the ownership is confirmed, so that tasks may be started. */
    boolean mayStartTasks();

    /** Tasks are ready to be placed. */
    void ready(Collection<Task> tasks);

    /** A task that was ready must not be placed until it is ready again. */
    void withdrawn(Task task);

    /** The job has ended; its running tasks have to be stopped and its waiting tasks removed. */
    void ended(Job job);

    /** Another process owns the partition. */
    void lost(PartitionOwner partition);
}
