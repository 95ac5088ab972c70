package org.chivetally.agent;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** All admitted attempts that are remembered, by id and by task; kept texts stay under a bound. */
final class AttemptTable {
    private final long retentionNanos;
    private final long maximumBytes;
    private final Map<String, Attempt> byId = new HashMap<>();
    private final Map<String, List<Attempt>> newestByJob = new HashMap<>();
    private final Deque<Attempt> ended = new ArrayDeque<>();
    private final Deque<Attempt> withResults = new ArrayDeque<>();
    private long retainedBytes;

    AttemptTable(long retentionNanos, long maximumBytes) {
        this.retentionNanos = retentionNanos;
        this.maximumBytes = maximumBytes;
    }

    /** Returns the attempt of an id, or null. */
    Attempt find(String attemptId) {
        return byId.get(attemptId);
    }

    /** Returns the newest attempt of a task, or null. */
    Attempt find(String jobId, int taskIndex) {
        for (Attempt attempt : ofJob(jobId)) {
            if (attempt.taskIndex == taskIndex) {
                return attempt;
            }
        }
        return null;
    }

    /** Returns the newest attempt of each task of a job. */
    List<Attempt> ofJob(String jobId) {
        return newestByJob.getOrDefault(jobId, List.of());
    }

    long retainedBytes() {
        return retainedBytes;
    }

    void add(Attempt attempt) {
        attempt.setEarlier(find(attempt.jobId, attempt.taskIndex));
        byId.put(attempt.id, attempt);
        replace(attempt.jobId, attempt.earlier(), attempt);
    }

    /** Takes out an attempt that did not run, so that an earlier one of its task speaks for the task again. */
    void remove(Attempt attempt) {
        byId.remove(attempt.id);
        Attempt earlier = attempt.earlier();
        boolean stillRetained = earlier != null && byId.get(earlier.id) == earlier;
        replace(attempt.jobId, attempt, stillRetained ? earlier : null);
    }

    /** Keeps the result of an ended attempt, dropping the oldest texts for space. */
    void retainResult(Attempt attempt) {
        ended.add(attempt);
        withResults.add(attempt);
        retainedBytes += attempt.resultBytes();
        while (retainedBytes > maximumBytes) {
            Attempt oldest = withResults.remove();
            retainedBytes -= oldest.resultBytes();
            oldest.discardResult();
        }
    }

    /** Forgets attempts that ended longer ago than the retention. */
    void removeExpired(long nowNanos) {
        while (!ended.isEmpty() && nowNanos - ended.peek().endedNanos() >= retentionNanos) {
            Attempt oldest = ended.remove();
            byId.remove(oldest.id);
            replace(oldest.jobId, oldest, null);
            if (withResults.peek() == oldest) {
                withResults.remove();
                retainedBytes -= oldest.resultBytes();
            }
        }
    }

    /** Puts one attempt of a job in place of another; null stands for none. */
    private void replace(String jobId, Attempt old, Attempt replacement) {
        List<Attempt> attempts = newestByJob.computeIfAbsent(jobId, id -> new ArrayList<>(1));
        boolean removed = old != null && attempts.remove(old);
        if (replacement != null && (old == null || removed)) {
            attempts.add(replacement);
        }
        if (attempts.isEmpty()) {
            newestByJob.remove(jobId);
        }
    }
}
