package org.chivetally.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.chivetally.job.JobId;
import org.junit.jupiter.api.Test;

class ClaimTableTest {
    private static final long END = ClaimSamples.WINDOW.toMillis();

    private final ClaimTable table = new ClaimTable();
    private long sequence;

    @Test
    void firstClaimOfKeyWins() {
        assertThat(fold(claimed("job-1", "a")), is(new FoldResult.Won(ClaimSamples.claim("job-1", "a", 1))));
        assertThat(fold(claimed("job-2", "b")), is(new FoldResult.Unchanged()));
        assertThat(inForce(), is(Optional.of(ClaimSamples.claim("job-1", "a", 1))));
        assertThat(table.find(new JobId("job-1")), is(inForce()));
        assertThat(table.find(new JobId("job-2")), is(Optional.empty()));
    }

    @Test
    void keysAreScopedByTeam() {
        fold(claimed("job-1", "a"));
        SubmissionKey sameKey = new SubmissionKey("other team", ClaimSamples.KEY.key());
        FoldResult folded = fold(ClaimSamples.claimed(sameKey, ClaimSamples.OTHER_BODY, "job-2", "b"));
        assertThat(folded, instanceOf(FoldResult.Won.class));
    }

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
     * A process renewed its lease, and another one sent a takeover before it had read that: the job stays where it is.
     * A takeover that names this renewal, or that follows a renewal of a process that has no part in the claim, wins.
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

    @Test
    void formatOneTakeoverIsDecidedByGenerationAlone() {
        fold(claimed("job-1", "a"));
        renew("a", 100);
        ClaimRecord takenOver = ClaimSamples.takenOver("job-1", "b", 2, ClaimRecord.TakenOver.UNSPECIFIED);
        assertThat(fold(takenOver), instanceOf(FoldResult.TakenOver.class));
    }

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
     * A claim was released, and its key is free; then the append that carried the claim lands a second time.
     * The repeat must not claim the key again: its process gave it up, and nobody would work on the job.
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

    @Test
    void keyIsFreeAfterItsWindowInStreamTime() {
        fold(claimed("job-1", "a"), 1_000);
        assertThat(fold(claimed("job-2", "b"), 1_000 + END - 1), is(new FoldResult.Unchanged()));
        FoldResult folded = fold(claimed("job-3", "b"), 1_000 + END);
        assertThat(folded, is(new FoldResult.Won(ClaimSamples.claim("job-3", "b", 1))));
        assertThat(table.find(new JobId("job-1")), is(Optional.empty()));
        assertThat(table.size(), is(1));
    }

    @Test
    void streamTimeNeverGoesBack() {
        fold(claimed("job-1", "a"), END);
        fold(ClaimSamples.takenOver("job-1", "b", 2), 1);
        assertThat(table.streamMillis(), is(END));
        fold(ClaimSamples.takenOver("job-1", "c", 3), 2 * END - 1);
        assertThat(inForce(), is(Optional.of(ClaimSamples.claim("job-1", "c", 3))));
    }

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
     * A coordinator that lost its job says that it is finished, as far as it is concerned. The job goes on elsewhere.
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

    @Test
    void foldedRecordsAreNotFoldedAgain() {
        fold(claimed("job-1", "a"));
        FoldResult again = table.fold(0, ClaimSamples.id("a", 99), new TimestampedRecord(claimed("job-9", "a"), END));
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
