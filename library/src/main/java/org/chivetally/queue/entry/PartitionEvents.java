package org.chivetally.queue.entry;

import java.util.Collection;
import java.util.Optional;
import org.chivetally.queue.Job;
import org.chivetally.queue.JobAnswer;
import org.chivetally.queue.Task;

/** What a {@link PartitionOwner} asks of and tells to the entry around it. */
interface PartitionEvents {
    /** Decides whether a job is taken on; returns what its caller is told if it isn't. */
    Optional<JobAnswer.Refused> refuse(Job job);

    /** The jobs are read; agents are to be asked what they hold of them. */
    void loaded(PartitionOwner partition);

    /** Tasks may be placed. */
    void ready(Collection<Task> tasks);

    /** The job has ended; its tasks in progress are to be stopped and its waiting ones dropped. */
    void ended(Job job);

    /** Another process owns the partition. */
    void lost(PartitionOwner partition);
}
