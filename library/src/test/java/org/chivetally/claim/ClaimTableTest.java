package org.chivetally.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.chivetally.job.JobId;
import org.junit.jupiter.api.Test;

/** Checks how single records change the claim table. */
class ClaimTableTest {
    private static final long WINDOW_MILLIS = ClaimSamples.WINDOW.toMillis();

    private final ClaimTable table = new ClaimTable();
    private long sequence;

    /** If a second claim won as well, the job would run twice. */
    @Test
    void firstClaimOfKeyWins() {
        assertThat(fold(claimed("job-1", "a")), is(new FoldResult.Won(ClaimSamples.claim("job-1", "a", 1))));
        assertThat(fold(claimed("job-2", "b")), is(new FoldResult.Unchanged()));
        assertThat(inForce(), is(Optional.of(ClaimSamples.claim("job-1", "a", 1))));
        assertThat(table.find(new JobId("job-1")), is(inForce()));
        assertThat(table.find(new JobId("job-2")), is(Optional.empty()));
    }

    /** Equal keys of two teams must not attach one team's caller to the other team's job. */
    @Test
    void keysAreScopedByTeam() {
        fold(claimed("job-1", "a"));
        SubmissionKey sameKey = new SubmissionKey("other team", ClaimSamples.KEY.key());
        FoldResult folded = fold(ClaimSamples.claimed(sameKey, ClaimSamples.OTHER_BODY, "job-2", "b"));
        assertThat(folded, instanceOf(FoldResult.Won.class));
    }

    /** Of several takeovers of one job only one may win, and none of an outdated generation or of another job. */
    @Test
    void onlyTakeoverByTheNextGenerationWins() {
        fold(claimed("job-1", "a"));
        assertThat(fold(ClaimSamples.takenOver("job-1", "b", 3)), is(new FoldResult.Unchanged()));
        assertThat(fold(ClaimSamples.takenOver("job-2", "b", 2)), is(new FoldResult.Unchanged()));
        Claim second = ClaimSamples.claim("job-1", "b", 2);
        assertThat(
                fold(ClaimSamples.takenOver("job-1", "b", 2)),
                is(new FoldResult.TakenOver(second, ClaimSamples.process("a"))));
        assertThat(fold(ClaimSamples.takenOver("job-1", "c", 2)), is(new FoldResult.Unchanged()));
        assertThat(inForce(), is(Optional.of(second)));
    }

    /*
     * A process renewed its lease, and another one sent a takeover before reading that: the job must stay where it is.
     * A takeover that specifies this renewal wins, and a renewal of a process that does not coordinate the job makes no
     * difference.
     */
    @Test
    void takeoverLosesToRenewalItDoesNotSpecify() {
        fold(claimed("job-1", "a"));
        long first = table.nextOffset();
        renew("a", 100);
        long second = table.nextOffset();
        renew("a", 101);
        renew("c", 100);
        assertThat(fold(ClaimSamples.takenOver("job-1", "b", 2)), is(new FoldResult.Unchanged()));
        assertThat(fold(ClaimSamples.takenOver("job-1", "b", 2, first)), is(new FoldResult.Unchanged()));
        assertThat(table.lastRenewalOf(ClaimSamples.process("a")), is(second));
        assertThat(fold(ClaimSamples.takenOver("job-1", "b", 2, second)), instanceOf(FoldResult.TakenOver.class));
    }

    /**
     * Records of earlier versions carry no renewal offset; deciding them in another way than those versions did would
     * change existing tables.
     */
    @Test
    void formatOneTakeoverIsDecidedByGenerationAlone() {
        fold(claimed("job-1", "a"));
        renew("a", 100);
        ClaimRecord takenOver = ClaimSamples.takenOver("job-1", "b", 2, ClaimRecord.TakenOver.UNSPECIFIED);
        assertThat(fold(takenOver), instanceOf(FoldResult.TakenOver.class));
    }

    /** A release must not free the key of another job, coordinator or generation, whose tasks may be running. */
    @Test
    void releaseFreesOnlyTheClaimItNames() {
        fold(claimed("job-1", "a"));
        assertThat(fold(ClaimSamples.released("job-1", "b", 1)), is(new FoldResult.Unchanged()));
        assertThat(fold(ClaimSamples.released("job-2", "a", 1)), is(new FoldResult.Unchanged()));
        fold(ClaimSamples.takenOver("job-1", "b", 2));
        assertThat(fold(ClaimSamples.released("job-1", "a", 1)), is(new FoldResult.Unchanged()));
        fold(ClaimSamples.takenOver("job-1", "a", 3));
        assertThat(fold(ClaimSamples.released("job-1", "a", 1)), is(new FoldResult.Unchanged()));
        assertThat(inForce(), is(Optional.of(ClaimSamples.claim("job-1", "a", 3))));
    }

    /*
     * A claim was released and its key is free; then the append that carried the claim is written a second time. The
     * duplicate must not claim the key again: its process abandoned it, and no process would work on the job.
     */
    @Test
    void repeatOfReleasedClaimIsDropped() {
        RecordId id = ClaimSamples.id("a", 7);
        table.fold(0, id, new TimestampedRecord(claimed("job-1", "a"), 0));
        table.fold(1, ClaimSamples.id("a", 8), new TimestampedRecord(ClaimSamples.released("job-1", "a", 1), 0));
        assertThat(inForce(), is(Optional.empty()));
        assertThat(table.fold(2, id, new TimestampedRecord(claimed("job-1", "a"), 0)), is(new FoldResult.Unchanged()));
        assertThat(inForce(), is(Optional.empty()));
    }

    /** A key must stay claimed for its whole window and be free afterwards, in the same way for all readers. */
    @Test
    void keyIsFreeAfterItsWindowInStreamTime() {
        fold(claimed("job-1", "a"), 1_000);
        assertThat(fold(claimed("job-2", "b"), 1_000 + WINDOW_MILLIS - 1), is(new FoldResult.Unchanged()));
        FoldResult folded = fold(claimed("job-3", "b"), 1_000 + WINDOW_MILLIS);
        assertThat(folded, is(new FoldResult.Won(ClaimSamples.claim("job-3", "b", 1))));
        assertThat(table.find(new JobId("job-1")), is(Optional.empty()));
        assertThat(table.size(), is(1));
    }

    /**
     * A record of a process whose estimate lags must not set the stream time back, as that would extend the windows of
     * all claims.
     */
    @Test
    void streamTimeNeverGoesBack() {
        fold(claimed("job-1", "a"), WINDOW_MILLIS);
        fold(ClaimSamples.takenOver("job-1", "b", 2), 1);
        assertThat(table.streamMillis(), is(WINDOW_MILLIS));
        fold(ClaimSamples.takenOver("job-1", "c", 3), 2 * WINDOW_MILLIS - 1);
        assertThat(inForce(), is(Optional.of(ClaimSamples.claim("job-1", "c", 3))));
    }

    /** A finished job must keep its key, or a resubmission would run it again. */
    @Test
    void finishedJobStaysClaimed() {
        fold(claimed("job-1", "a"));
        fold(new ClaimRecord.Finished(ClaimSamples.KEY, new JobId("job-2")));
        assertThat(inForce().orElseThrow().finished(), is(false));
        finish("a");
        assertThat(inForce().orElseThrow().finished(), is(true));
        assertThat(fold(claimed("job-3", "b")), is(new FoldResult.Unchanged()));
    }

    /*
     * A replaced coordinator records an outcome of its own although the job continues at its successor: it must not
     * mark the job as finished.
     */
    @Test
    void onlyTheCoordinatorInForceFinishesAJob() {
        fold(claimed("job-1", "a"));
        fold(ClaimSamples.takenOver("job-1", "b", 2));
        finish("a");
        assertThat(inForce().orElseThrow().finished(), is(false));
        finish("b");
        assertThat(inForce().orElseThrow().finished(), is(true));
    }

    /** A read that overlaps with an earlier one must not apply the same records twice. */
    @Test
    void foldedRecordsAreNotFoldedAgain() {
        fold(claimed("job-1", "a"));
        FoldResult again =
                table.fold(0, ClaimSamples.id("a", 99), new TimestampedRecord(claimed("job-9", "a"), WINDOW_MILLIS));
        assertThat(again, is(new FoldResult.Unchanged()));
        assertThat(table.nextOffset(), is(1L));
        assertThat(table.streamMillis(), is(0L));
    }

    private static ClaimRecord claimed(String job, String process) {
        return ClaimSamples.claimed(ClaimSamples.KEY, ClaimSamples.BODY, job, process);
    }

    private Optional<Claim> inForce() {
        return table.find(ClaimSamples.KEY);
    }

    private void finish(String process) {
        ClaimRecord finished = new ClaimRecord.Finished(ClaimSamples.KEY, new JobId("job-1"));
        table.fold(table.nextOffset(), ClaimSamples.id(process, 1), new TimestampedRecord(finished, 0));
    }

    private void renew(String process, long recordSequence) {
        ClaimRecord renewed = new ClaimRecord.Renewed(ClaimSamples.process(process), ClaimSamples.WINDOW);
        table.fold(table.nextOffset(), ClaimSamples.id(process, recordSequence), new TimestampedRecord(renewed, 0));
    }

    private FoldResult fold(ClaimRecord content) {
        return fold(content, 0);
    }

    private FoldResult fold(ClaimRecord content, long streamMillis) {
        sequence++;
        return table.fold(
                table.nextOffset(), ClaimSamples.id("writer", sequence), new TimestampedRecord(content, streamMillis));
    }
}
