package org.chivetally.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.chivetally.job.JobId;
import org.junit.jupiter.api.Test;

/** Checks claims that are kept in the memory of one process. */
class MemoryClaimsTest {
    private final ManualClock clock = new ManualClock();
    private final MemoryClaims claims = new MemoryClaims(ClaimSamples.process("a"), ClaimSamples.WINDOW, clock);
    private final Claim first = ClaimSamples.claim("job-1", "a", 1);

    /** While the log is unavailable, repeated and reused keys must be decided as they are by the log. */
    @Test
    void appliesSameRulesAsLogClaims() {
        assertThat(claim(ClaimSamples.BODY, "job-1"), is(new ClaimDecision.Won(first)));
        assertThat(claim(ClaimSamples.BODY, "job-2"), is(new ClaimDecision.Attached(first)));
        assertThat(claim(ClaimSamples.OTHER_BODY, "job-3"), is(new ClaimDecision.KeyReused(first)));
        assertThat(join(claims.find(new JobId("job-1"))), is(Optional.of(first)));
        assertThat(join(claims.find(new JobId("job-2"))), is(Optional.empty()));
    }

    /** A key must stay claimed for its whole window and be free afterwards. */
    @Test
    void keyIsFreeAfterItsWindow() {
        claim(ClaimSamples.BODY, "job-1");
        clock.advance(ClaimSamples.WINDOW.minusNanos(1));
        assertThat(claim(ClaimSamples.BODY, "job-2"), instanceOf(ClaimDecision.Attached.class));
        clock.advance(ClaimSamples.WINDOW);
        assertThat(join(claims.find(ClaimSamples.KEY)), is(Optional.empty()));
        assertThat(claim(ClaimSamples.BODY, "job-2"), instanceOf(ClaimDecision.Won.class));
    }

    /** A takeover of an outdated generation must not win. */
    @Test
    void onlyTheClaimInForceIsTakenOver() {
        claim(ClaimSamples.BODY, "job-1");
        Claim second = ClaimSamples.claim("job-1", "a", 2);
        assertThat(join(claims.takeOver(first)), is(new ClaimDecision.Won(second)));
        assertThat(join(claims.takeOver(first)), is(new ClaimDecision.Attached(second)));
    }

    /** A departed process must accept no further jobs, as it can't run them. */
    @Test
    void departedProcessClaimsNothing() {
        join(claims.depart());
        assertThat(claims.holdsLease(), is(false));
        assertThat(claim(ClaimSamples.BODY, "job-1"), instanceOf(ClaimDecision.LogUnavailable.class));
    }

    private ClaimDecision claim(String body, String job) {
        return join(claims.claim(ClaimSamples.KEY, body, new JobId(job)));
    }

    private static <T> T join(CompletionStage<T> stage) {
        return stage.toCompletableFuture().join();
    }
}
