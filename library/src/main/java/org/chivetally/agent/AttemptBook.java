package org.chivetally.agent;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** All admitted attempts that are remembered, by id and by task; kept texts stay under a bound. */
final class AttemptBook {
    private final long retentionNanos;
    private final long boundBytes;
    private final Map<String, Attempt> byId = new HashMap<>();
    private final Map<String, List<Attempt>> newestByJob = new HashMap<>();
    private final Deque<Attempt> ended = new ArrayDeque<>();
    private final Deque<Attempt> withTexts = new ArrayDeque<>();
    private long keptBytes;

    AttemptBook(long retentionNanos, long boundBytes) {
        this.retentionNanos = retentionNanos;
        this.boundBytes = boundBytes;
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

    long keptBytes() {
        return keptBytes;
    }

    void add(Attempt attempt) {
        attempt.follows(find(attempt.jobId, attempt.taskIndex));
        byId.put(attempt.id, attempt);
        replace(attempt.jobId, attempt.earlier(), attempt);
    }

    /** Takes out an attempt that did not run, so that an earlier one of its task speaks for the task again. */
    void withdraw(Attempt attempt) {
        byId.remove(attempt.id);
        Attempt earlier = attempt.earlier();
        boolean remembered = earlier != null && byId.get(earlier.id) == earlier;
        replace(attempt.jobId, attempt, remembered ? earlier : null);
    }

    /** Keeps the result of an ended attempt, dropping the oldest texts for space. */
    void keep(Attempt attempt) {
        ended.add(attempt);
        withTexts.add(attempt);
        keptBytes += attempt.keptBytes();
        while (keptBytes > boundBytes) {
            Attempt oldest = withTexts.remove();
            keptBytes -= oldest.keptBytes();
            oldest.dropTexts();
        }
    }

    /** Forgets attempts that ended longer ago than the retention. */
    void forget(long nowNanos) {
        while (!ended.isEmpty() && nowNanos - ended.peek().endedNanos() >= retentionNanos) {
            Attempt oldest = ended.remove();
            byId.remove(oldest.id);
            replace(oldest.jobId, oldest, null);
            if (withTexts.peek() == oldest) {
                withTexts.remove();
                keptBytes -= oldest.keptBytes();
            }
        }
    }

    /** Puts one attempt of a job in place of another; null stands for none. */
    private void replace(String jobId, Attempt old, Attempt fresh) {
        List<Attempt> attempts = newestByJob.computeIfAbsent(jobId, id -> new ArrayList<>(1));
        boolean removed = old != null && attempts.remove(old);
        if (fresh != null && (old == null || removed)) {
            attempts.add(fresh);
        }
        if (attempts.isEmpty()) {
            newestByJob.remove(jobId);
        }
    }
}
