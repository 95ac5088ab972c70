package org.chivetally.agent;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** All retained attempts, by id and by task; the size of their results is bounded. */
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

    /** Returns the attempt with an id, or null. */
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

    /** Removes an attempt that did not run; the earlier attempt of its task, if retained, becomes its newest again. */
    void remove(Attempt attempt) {
        byId.remove(attempt.id);
        Attempt earlier = attempt.earlier();
        boolean stillRetained = earlier != null && byId.get(earlier.id) == earlier;
        replace(attempt.jobId, attempt, stillRetained ? earlier : null);
    }

    /** Retains the result of an ended attempt, and discards the oldest results if there is no space. */
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

    /** Removes attempts whose retention is over. */
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

    /** Replaces one attempt of a job by another; either may be null for none. */
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
