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

class GroupCommitTest {
    private static final GroupCommitSettings SETTINGS =
            new GroupCommitSettings(10, 2, 3, 4, Duration.ofMillis(500), Duration.ofMillis(200));
    private static final long START = Long.MAX_VALUE - 5;
    private static final AppendOutcome APPENDED = new AppendOutcome.Appended(0);
    private static final AppendOutcome UNKNOWN = new AppendOutcome.Unknown("lost");
    private static final AppendOutcome REFUSED = new AppendOutcome.Refused("full");
    private static final ClaimRecord RENEWAL =
            new ClaimRecord.Renewed(ClaimSamples.process("a"), Duration.ofSeconds(6));

    private final GroupCommit commit = new GroupCommit(SETTINGS, START);

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

    @Test
    void onlyOneAppendIsInFlight() {
        commit.offer(claim(1));
        GroupCommit.Batch first = poll(0).orElseThrow();
        commit.offer(claim(2));
        assertThat(poll(100), is(Optional.empty()));
        commit.appendCompleted(first.number(), APPENDED, at(100));
        assertThat(contents(poll(100).orElseThrow()), contains(claim(2)));
    }

    @Test
    void lazyRecordsWaitForOthersUntilTheyFillAnAppend() {
        commit.addLazy(finished(1));
        commit.addLazy(finished(2));
        commit.addLazy(finished(3));
        assertThat(poll(60_000), is(Optional.empty()));
        commit.addLazy(finished(4));
        assertThat(contents(poll(60_000).orElseThrow()), contains(finished(1), finished(2), finished(3), finished(4)));
    }

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

    @Test
    void fullQueueRefusesClaimsButNotOwnRecords() {
        assertThat(commit.offer(claim(1)) && commit.offer(claim(2)) && commit.offer(claim(3)), is(true));
        assertThat(commit.offer(claim(4)), is(false));
        commit.add(ClaimSamples.released("job-9", "a", 1));
        commit.addUrgent(RENEWAL);
        assertThat(commit.queued(), is(5));
    }

    /*
     * The caller's claim is decided once though the answer to its append was lost.
     * Nothing is sent while the log is read for the records; when they don't turn up, the same records go out
     * again with
     * the same counts, before newer ones, so that readers can tell repeats by a single number.
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

    @Test
    void appendInDoubtIsSettledByReading() {
        commit.offer(claim(1));
        commit.appendCompleted(poll(0).orElseThrow().number(), UNKNOWN, at(50));
        commit.recordRead(1, at(60));
        commit.offer(claim(2));
        assertThat(contents(poll(60).orElseThrow()), contains(claim(2)));
    }

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

    @Test
    void refusedAppendIsRepeatedAfterAPause() {
        commit.offer(claim(1));
        commit.appendCompleted(poll(0).orElseThrow().number(), REFUSED, at(0));
        assertThat(poll(199), is(Optional.empty()));
        assertThat(contents(poll(200).orElseThrow()), contains(claim(1)));
    }

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
        return START + Duration.ofMillis(millis).toNanos();
    }

    private static List<ClaimRecord> contents(GroupCommit.Batch batch) {
        return batch.records().stream().map(GroupCommit.Outgoing::content).toList();
    }

    private static List<Long> sequences(GroupCommit.Batch batch) {
        return batch.records().stream().map(GroupCommit.Outgoing::sequence).toList();
    }
}
