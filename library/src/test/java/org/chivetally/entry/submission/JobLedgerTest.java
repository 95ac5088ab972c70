package org.chivetally.entry.submission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.chivetally.claim.SubmissionKey;
import org.chivetally.errors.ErrorCode;
import org.chivetally.job.JobId;
import org.chivetally.job.JobOutcome;
import org.chivetally.job.JobSpecification;
import org.chivetally.job.Resources;
import org.chivetally.job.TaskSpecification;
import org.junit.jupiter.api.Test;

class JobLedgerTest {
    private static final long WINDOW = 100;
    private static final JobOutcome ANSWER = new JobOutcome.Complete(List.of("x".repeat(1_000)));

    private final JobLedger ledger = new JobLedger(WINDOW, 5_000);

    @Test
    void findsByJobAndByKeyUntilTheWindowHasPassed() {
        JobRecord record = add("j1", "k1");
        ledger.finish(record, ANSWER, 10);
        ledger.expire(10 + WINDOW - 1);
        assertThat(ledger.find(record.key()), is(Optional.of(record)));
        ledger.expire(10 + WINDOW);
        assertThat(ledger.find(record.job()), is(Optional.empty()));
        assertThat(ledger.find(record.key()), is(Optional.empty()));
    }

    // More answers are kept than the bound allows. The oldest is dropped, and whoever asks for it is told that it is
    // no longer kept, instead of getting nothing or a part.
    @Test
    void dropsTheOldestAnswersOverTheBoundAndSaysSo() {
        JobRecord first = add("j1", "k1");
        ledger.finish(first, ANSWER, 0);
        JobRecord last = null;
        for (int job = 2; job <= 4; job++) {
            last = add("j" + job, "k" + job);
            ledger.finish(last, ANSWER, 0);
        }
        JobOutcome.Failure dropped = (JobOutcome.Failure) first.outcome().orElseThrow();
        assertThat(dropped.code(), is(ErrorCode.ANSWER_EXPIRED));
        assertThat(last.outcome(), is(Optional.of(ANSWER)));
    }

    @Test
    void forgetsWholeRecordsWhenDroppingAnswersIsNotEnough() {
        for (int job = 1; job <= 20; job++) {
            ledger.finish(add("j" + job, "k" + job), ANSWER, 0);
        }
        assertThat(ledger.find(new JobId("j1")), is(Optional.empty()));
        assertThat(ledger.find(new JobId("j20")).isPresent(), is(true));
    }

    @Test
    void anOpenJobKeepsItsKeyAndAWithdrawnOneFreesIt() {
        JobRecord first = add("j1", "k1");
        JobRecord second = add("j2", "k1");
        assertThat(ledger.find(first.key()), is(Optional.of(first)));
        ledger.withdraw(second);
        assertThat(ledger.find(first.key()), is(Optional.of(first)));
        ledger.withdraw(first);
        assertThat(ledger.find(first.key()), is(Optional.empty()));
        assertThat(ledger.open(), is(0));
    }

    @Test
    void listsATeamsJobsNewestFirst() {
        JobRecord first = add("j1", "k1");
        JobRecord second = add("j2", "k2");
        assertThat(ledger.recent(Optional.of("rangers"), 10), contains(second, first));
        assertThat(ledger.recent(Optional.of("others"), 10).isEmpty(), is(true));
    }

    private JobRecord add(String job, String key) {
        JobSpecification specification = new JobSpecification(
                "routing", "rangers", Duration.ofSeconds(1), List.of(new TaskSpecification("1", Resources.NONE)));
        Submission submission = new Submission(new SubmissionKey("rangers", key), false, "digest", specification);
        JobRecord record = new JobRecord(new JobId(job), submission, Instant.EPOCH, 0);
        ledger.add(record);
        return record;
    }
}
