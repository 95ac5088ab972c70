package org.chivetally.entry.submission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SequencedMap;
import java.util.SequencedSet;
import org.chivetally.claim.SubmissionKey;
import org.chivetally.job.JobId;
import org.chivetally.job.JobOutcome;

/**
 * The jobs of this entry: open ones, and final ones for the dedupe window within a bound of bytes.
 *
 * <p>Over the bound, answers are dropped first, oldest first, and then whole records. Not safe for several threads.
 */
final class JobLedger {
    private final long windowNanos;
    private final long maximumBytes;
    private final Map<JobId, JobRecord> records = new LinkedHashMap<>();
    private final Map<SubmissionKey, JobId> keys = new HashMap<>();
    private final SequencedSet<JobRecord> answers = new LinkedHashSet<>();
    private final SequencedMap<JobId, Long> endedAt = new LinkedHashMap<>();
    private long keptBytes;
    private int open;

    JobLedger(long windowNanos, long maximumBytes) {
        this.windowNanos = windowNanos;
        this.maximumBytes = maximumBytes;
    }

    /**
     * Adds an open job, in place of an ended one of the same id; it becomes the one of its key unless that has an open
     * one already.
     */
    void add(JobRecord record) {
        JobRecord before = records.remove(record.job());
        if (before != null && endedAt.remove(record.job()) != null) {
            forget(before);
        }
        records.put(record.job(), record);
        open++;
        Optional<JobRecord> present = find(record.key());
        if (present.isEmpty() || present.get().phase() == JobStatus.Phase.FINAL) {
            keys.put(record.key(), record.job());
        }
    }

    /** Removes an open job, as its key belongs to another one. */
    void withdraw(JobRecord record) {
        if (records.remove(record.job()) != null) {
            open--;
        }
        keys.remove(record.key(), record.job());
    }

    Optional<JobRecord> find(JobId job) {
        return Optional.ofNullable(records.get(job));
    }

    Optional<JobRecord> find(SubmissionKey key) {
        return Optional.ofNullable(keys.get(key)).map(records::get);
    }

    /** Makes a job final and keeps its outcome, within the bound. */
    void finish(JobRecord record, JobOutcome outcome, long now) {
        record.finish(outcome);
        open--;
        keptBytes += record.keptBytes();
        endedAt.put(record.job(), now);
        if (record.hasAnswer()) {
            answers.add(record);
        }
        shrink();
    }

    /** Forgets final jobs whose window has passed. */
    void expire(long now) {
        while (!endedAt.isEmpty() && now - endedAt.firstEntry().getValue() >= windowNanos) {
            forgetOldest();
        }
    }

    /** Returns how many jobs are not final. */
    int open() {
        return open;
    }

    /** Returns the jobs of a team, or of all, newest first. */
    List<JobRecord> recent(Optional<String> team, int limit) {
        List<JobRecord> all = new ArrayList<>(records.values());
        return all.reversed().stream()
                .filter(record -> team.isEmpty() || record.key().team().equals(team.get()))
                .limit(limit)
                .toList();
    }

    private void shrink() {
        while (keptBytes > maximumBytes && !answers.isEmpty()) {
            JobRecord oldest = answers.removeFirst();
            keptBytes -= oldest.keptBytes();
            oldest.dropAnswer();
            keptBytes += oldest.keptBytes();
        }
        while (keptBytes > maximumBytes && !endedAt.isEmpty()) {
            forgetOldest();
        }
    }

    private void forgetOldest() {
        forget(records.remove(endedAt.pollFirstEntry().getKey()));
    }

    private void forget(JobRecord record) {
        keptBytes -= record.keptBytes();
        answers.remove(record);
        keys.remove(record.key(), record.job());
    }
}
