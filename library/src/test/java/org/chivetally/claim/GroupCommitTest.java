package org.chivetally.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.chivetally.job.JobId;
import org.chivetally.log.AppendOutcome;
import org.junit.jupiter.api.Test;

/** Checks the order, rate and repetition of appends. */
class GroupCommitTest {
    private static final GroupCommitSettings SETTINGS =
            new GroupCommitSettings(10, 2, 3, 4, Duration.ofMillis(500), Duration.ofMillis(200));
    private static final long START_NANOS = Long.MAX_VALUE - 5;
    private static final AppendOutcome APPENDED = new AppendOutcome.Appended(0);
    private static final AppendOutcome UNKNOWN = new AppendOutcome.Unknown("lost");
    private static final AppendOutcome REFUSED = new AppendOutcome.Refused("full");
    private static final ClaimRecord RENEWAL =
            new ClaimRecord.Renewed(ClaimSamples.process("a"), Duration.ofSeconds(6));

    private final GroupCommit commit = new GroupCommit(SETTINGS, START_NANOS);

    /** A renewal that waited for queued claims could be written after the lease has ended. */
    @Test
    void queuedRecordsShareOneAppendWithRenewalsFirst() {
        commit.offer(claim(1));
        commit.addLazy(finished(1));
        commit.offer(claim(2));
        commit.addUrgent(RENEWAL);
        GroupCommit.Batch batch = poll(0).orElseThrow();
        assertThat(contents(batch), contains(RENEWAL, claim(1), claim(2), finished(1)));
        assertThat(sequences(batch), contains(1L, 2L, 3L, 4L));
    }

    /** With two appends in flight, records could be written out of sequence and be dropped as duplicates. */
    @Test
    void onlyOneAppendIsInFlight() {
        commit.offer(claim(1));
        GroupCommit.Batch first = poll(0).orElseThrow();
        commit.offer(claim(2));
        assertThat(poll(100), is(Optional.empty()));
        commit.appendCompleted(first.number(), APPENDED, at(100));
        assertThat(contents(poll(100).orElseThrow()), contains(claim(2)));
    }

    /** Records that are not urgent must not use up the append rate of claims, and must not queue without bound. */
    @Test
    void lazyRecordsWaitForOthersUntilTheyFillAnAppend() {
        commit.addLazy(finished(1));
        commit.addLazy(finished(2));
        commit.addLazy(finished(3));
        assertThat(poll(60_000), is(Optional.empty()));
        commit.addLazy(finished(4));
        assertThat(contents(poll(60_000).orElseThrow()), contains(finished(1), finished(2), finished(3), finished(4)));
    }

    /** Guards against an entry that exceeds its share of the log's append rate. */
    @Test
    void appendsStayWithinBurstAndRate() {
        List<Long> sentMillis = new ArrayList<>();
        for (long millis = 0; millis <= 1_000; millis += 10) {
            commit.offer(claim((int) millis));
            Optional<GroupCommit.Batch> batch = poll(millis);
            if (batch.isPresent()) {
                sentMillis.add(millis);
                commit.appendCompleted(batch.get().number(), APPENDED, at(millis));
            }
        }
        assertThat(sentMillis, contains(0L, 10L, 100L, 200L, 300L, 400L, 500L, 600L, 700L, 800L, 900L, 1_000L));
    }

    /** Releases and renewals must be sent even while claims are refused, or keys stay taken and leases lapse. */
    @Test
    void fullQueueRefusesClaimsButNotOwnRecords() {
        assertThat(commit.offer(claim(1)) && commit.offer(claim(2)) && commit.offer(claim(3)), is(true));
        assertThat(commit.offer(claim(4)), is(false));
        commit.add(ClaimSamples.released("job-9", "a", 1));
        commit.addUrgent(RENEWAL);
        assertThat(commit.queued(), is(5));
    }

    /*
     * The answer to an append is lost. Nothing is sent while the log is read for its records; if they don't appear, the
     * same records are sent again with the same sequence numbers, before newer ones, so that readers recognize
     * duplicates by a single number and the claim is decided once.
     */
    @Test
    void appendInDoubtIsRepeatedBeforeNewerRecords() {
        commit.offer(claim(1));
        GroupCommit.Batch first = poll(0).orElseThrow();
        commit.appendCompleted(first.number(), UNKNOWN, at(50));
        commit.offer(claim(2));
        commit.addUrgent(RENEWAL);
        assertThat(poll(549), is(Optional.empty()));
        GroupCommit.Batch second = poll(550).orElseThrow();
        assertThat(second.records().getFirst(), is(first.records().getFirst()));
        assertThat(contents(second), contains(claim(1), RENEWAL, claim(2)));
        assertThat(sequences(second), contains(1L, 2L, 3L));
    }

    /** Records that were read back must not be sent again, although the answer to their append was lost. */
    @Test
    void appendInDoubtIsSettledByReading() {
        commit.offer(claim(1));
        commit.appendCompleted(poll(0).orElseThrow().number(), UNKNOWN, at(50));
        commit.recordRead(1, at(60));
        commit.offer(claim(2));
        assertThat(contents(poll(60).orElseThrow()), contains(claim(2)));
    }

    /** A late answer to an append that was read back must not be taken for the answer to the next one. */
    @Test
    void answerAfterReadingIsIgnored() {
        commit.offer(claim(1));
        GroupCommit.Batch first = poll(0).orElseThrow();
        commit.recordRead(1, at(10));
        commit.offer(claim(2));
        GroupCommit.Batch second = poll(10).orElseThrow();
        assertThat(commit.appendCompleted(first.number(), UNKNOWN, at(20)), is(false));
        assertThat(commit.appendCompleted(second.number(), APPENDED, at(20)), is(true));
    }

    /** A refused append must be sent again, but must not add load to a failing log without a pause. */
    @Test
    void refusedAppendIsRepeatedAfterAPause() {
        commit.offer(claim(1));
        commit.appendCompleted(poll(0).orElseThrow().number(), REFUSED, at(0));
        assertThat(poll(199), is(Optional.empty()));
        assertThat(contents(poll(200).orElseThrow()), contains(claim(1)));
    }

    /** An abandoned claim must not be sent after its caller was answered that nothing has run. */
    @Test
    void withdrawnRecordsAreNotSentAgain() {
        commit.offer(claim(1));
        commit.offer(claim(2));
        GroupCommit.Batch first = poll(0).orElseThrow();
        commit.offer(claim(3));
        commit.withdraw(claim(1));
        commit.withdraw(claim(3));
        commit.appendCompleted(first.number(), UNKNOWN, at(0));
        GroupCommit.Batch second = poll(500).orElseThrow();
        assertThat(contents(second), contains(claim(2)));
        commit.appendCompleted(second.number(), UNKNOWN, at(500));
        commit.withdraw(claim(2));
        assertThat(poll(60_000), is(Optional.empty()));
    }

    private static ClaimRecord claim(int number) {
        return ClaimSamples.claimed(ClaimSamples.KEY, ClaimSamples.BODY, "job-" + number, "a");
    }

    private static ClaimRecord finished(int number) {
        return new ClaimRecord.Finished(ClaimSamples.KEY, new JobId("job-" + number));
    }

    private Optional<GroupCommit.Batch> poll(long millis) {
        return commit.poll(at(millis), millis);
    }

    private static long at(long millis) {
        return START_NANOS + Duration.ofMillis(millis).toNanos();
    }

    private static List<ClaimRecord> contents(GroupCommit.Batch batch) {
        return batch.records().stream().map(GroupCommit.Outgoing::content).toList();
    }

    private static List<Long> sequences(GroupCommit.Batch batch) {
        return batch.records().stream().map(GroupCommit.Outgoing::sequence).toList();
    }
}
