package org.chivetally.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.ManualTime;
import org.chivetally.job.JobId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class LogClaimsTest {
    private static final SubmissionKey KEY = new SubmissionKey("team", "key");
    private static final String BODY = "ab".repeat(32);
    private static final String OTHER_BODY = "cd".repeat(32);

    private final ActorTestKit kit = ActorTestKit.create(ManualTime.config());
    private final ManualTime time = ManualTime.get(kit.system());
    private final ManualClock clock = new ManualClock();
    private final ScriptedLog log = ScriptedLog.create();
    private final List<LogClaims> started = new ArrayList<>();

    @AfterEach
    void stop() {
        kit.shutdownTestKit();
    }

    @Test
    void claimOfFreeKeyIsWonAndLaterOnesAttach() {
        LogClaims claims = start("a", log);
        ClaimDecision first = join(claims.claim(KEY, BODY, new JobId("job-1")));
        Claim claim = new Claim(KEY, BODY, new JobId("job-1"), self("a"), 1, false);
        assertThat(first, is(new ClaimDecision.Won(claim)));
        assertThat(join(claims.claim(KEY, BODY, new JobId("job-2"))), is(new ClaimDecision.Attached(claim)));
        assertThat(join(claims.claim(KEY, OTHER_BODY, new JobId("job-3"))), is(new ClaimDecision.KeyReused(claim)));
    }

    private LogClaims start(String process, ScriptedLog view) {
        ClaimSettings settings = ClaimSettings.defaults(Duration.ofMinutes(10), Duration.ofHours(1));
        LogClaims claims =
                LogClaims.start(kit.system(), view, settings, self(process), clock, new SimpleMeterRegistry());
        started.add(claims);
        pass(Duration.ofMillis(100));
        return claims;
    }

    private static Coordinator self(String process) {
        return new Coordinator(process, process + "-1", "10.0.0.1", 7000);
    }

    /** Lets time pass in small steps, and all processes work after each. */
    private void pass(Duration duration) {
        Duration step = Duration.ofMillis(50);
        for (Duration passed = Duration.ZERO; passed.compareTo(duration) < 0; passed = passed.plus(step)) {
            clock.advance(step);
            time.timePasses(step);
            settle();
        }
    }

    /** Waits until every process has handled what it has got, and what followed from it. */
    private void settle() {
        for (int round = 0; round < 5; round++) {
            started.forEach(claims -> join(claims.find(KEY)));
        }
    }

    private static <T> T join(CompletionStage<T> stage) {
        return stage.toCompletableFuture().orTimeout(10, TimeUnit.SECONDS).join();
    }
}
