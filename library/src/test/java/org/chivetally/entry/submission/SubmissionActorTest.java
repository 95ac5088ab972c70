package org.chivetally.entry.submission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.testkit.typed.javadsl.BehaviorTestKit;
import org.chivetally.claim.Claim;
import org.chivetally.claim.Coordinator;
import org.chivetally.claim.SubmissionKey;
import org.chivetally.job.JobId;
import org.chivetally.job.JobOutcome.Certainty;
import org.chivetally.job.JobSpecification;
import org.chivetally.job.Resources;
import org.chivetally.job.TaskSpecification;
import org.junit.jupiter.api.Test;

/** What an entry that can't reach the log says of a key that its caller chose. */
class SubmissionActorTest {
    private static final SubmissionKey KEY = new SubmissionKey("team", "key");
    private static final String DIGEST = "ab".repeat(32);
    private static final Coordinator SELF = new Coordinator("entry-1", "1", "10.0.0.1", 7000);
    private static final Coordinator LEFT = new Coordinator("entry-9", "1", "10.0.0.9", 7000);

    private final UnavailableClaims claims = new UnavailableClaims();
    private final BehaviorTestKit<SubmissionCommand> actor = BehaviorTestKit.create(SubmissionActor.create(parts()));
    private boolean nobodyHas = true;

    @Test
    void aKeyThatNobodyHasIsNotRun() {
        assertThat(submit(), is(Optional.of(Certainty.NOT_RUN)));
        nobodyHas = false;
        assertThat(submit(), is(Optional.of(Certainty.UNKNOWN)));
    }

    // An entry that started in an outage has read no claims. Any key may have been claimed by an entry that has left
    // since and can't be asked, so "not run" would be a guess.
    @Test
    void noKeyIsCertainBeforeTheClaimsWereRead() {
        claims.readToEndAt = OptionalLong.empty();
        assertThat(submit(), is(Optional.of(Certainty.UNKNOWN)));
    }

    // Another entry was cut off, and asks whether a key is known here. The entry that claimed it has left; its job was
    // never here, but its claim was read, and the other entry's caller must not hear "not run".
    @Test
    void aKeyWhoseClaimWasReadIsKnown() {
        assertThat(isKnown(), is(false));
        claims.read = Optional.of(new Claim(KEY, DIGEST, new JobId("job"), LEFT, 1, true));
        assertThat(isKnown(), is(true));
    }

    @Test
    void noKeyIsVouchedForBeforeTheClaimsWereRead() {
        claims.readToEndAt = OptionalLong.empty();
        assertThat(isKnown(), is(true));
    }

    private boolean isKnown() {
        CompletableFuture<Boolean> known = new CompletableFuture<>();
        actor.run(new SubmissionCommand.AskKey(KEY, known::complete));
        return known.join();
    }

    /** Submits the key and returns the refusal's certainty. */
    private Optional<Certainty> submit() {
        TaskSpecification task = new TaskSpecification("1", Resources.NONE);
        JobSpecification job = new JobSpecification("routing", "team", Duration.ofSeconds(10), List.of(task));
        CompletableFuture<SubmissionReply> reply = new CompletableFuture<>();
        actor.run(new SubmissionCommand.Submit(new Submission(KEY, false, DIGEST, job), reply));
        while (actor.selfInbox().hasMessages()) {
            actor.run(actor.selfInbox().receiveMessage());
        }
        return reply.join() instanceof SubmissionReply.Refused refused
                ? Optional.of(refused.failure().certainty())
                : Optional.empty();
    }

    private SubmissionActor.Parts parts() {
        return new SubmissionActor.Parts(
                SELF,
                new SubmissionSettings(Duration.ofMinutes(10), 1 << 20),
                claims,
                event -> {},
                new Asked(),
                new UndeclaredPolicies(),
                () -> CompletableFuture.completedStage(true),
                () -> new JobId("job-" + System.nanoTime()),
                () -> 0,
                InstantSource.system(),
                (outcome, nanos) -> {});
    }

    private final class Asked implements Peers {
        @Override
        public void ask(Coordinator coordinator, JobId job, String key) {}

        @Override
        public void forget(JobId job) {}

        @Override
        public CompletionStage<Boolean> nobodyHas(SubmissionKey key, long sinceNanos) {
            return CompletableFuture.completedStage(nobodyHas);
        }

        @Override
        public void cancel(Coordinator coordinator, JobId job) {}
    }
}
