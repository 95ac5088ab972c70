package org.chivetally.coordination;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import org.chivetally.job.JobId;

/** Names of the jobs that ended last, by which a late answer is told from a stray one. */
final class FinishedJobs {
    private static final int CAPACITY = 20_000;

    private final Set<JobId> names = new HashSet<>();
    private final ArrayDeque<JobId> order = new ArrayDeque<>();

    void add(JobId job) {
        if (!names.add(job)) {
            return;
        }
        order.addLast(job);
        if (order.size() > CAPACITY) {
            names.remove(order.pollFirst());
        }
    }

    boolean contains(JobId job) {
        return names.contains(job);
    }
}
