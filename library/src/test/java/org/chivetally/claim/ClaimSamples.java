package org.chivetally.claim;

import java.time.Duration;
import java.time.Instant;
import org.chivetally.job.JobId;
import org.chivetally.log.NewRecord;

/** Sample values shared by the tests of this package. */
final class ClaimSamples {
    static final SubmissionKey KEY = new SubmissionKey("team", "key");
    static final SubmissionKey OTHER_KEY = new SubmissionKey("team", "other");
    static final String BODY = "ab".repeat(32);
    static final String OTHER_BODY = "cd".repeat(32);
    static final Duration WINDOW = Duration.ofMinutes(10);

    private ClaimSamples() {}

    static Coordinator process(String name) {
        return new Coordinator(name, name + "-1", "10.0.0.1", 7000);
    }

    static ClaimRecord.Claimed claimed(SubmissionKey key, String body, String job, String process) {
        return new ClaimRecord.Claimed(key, body, new JobId(job), process(process), WINDOW);
    }

    static ClaimRecord.TakenOver takenOver(String job, String process, int generation) {
        return takenOver(job, process, generation, ClaimRecord.TakenOver.NO_RENEWAL);
    }

    static ClaimRecord.TakenOver takenOver(String job, String process, int generation, long lastRenewal) {
        return new ClaimRecord.TakenOver(KEY, new JobId(job), process(process), generation, lastRenewal);
    }

    static ClaimRecord.Released released(String job, String process, int generation) {
        return new ClaimRecord.Released(KEY, new JobId(job), process(process), generation);
    }

    static Claim claim(String job, String process, int generation) {
        return new Claim(KEY, BODY, new JobId(job), process(process), generation, false);
    }

    static NewRecord newRecord(String process, long sequence, ClaimRecord content, long streamMillis) {
        return new NewRecord(
                id(process, sequence).text(),
                ClaimRecordCodec.encode(new TimestampedRecord(content, streamMillis), Instant.EPOCH));
    }

    static RecordId id(String process, long sequence) {
        return new RecordId(RecordId.writerOf(process(process)), sequence);
    }
}
