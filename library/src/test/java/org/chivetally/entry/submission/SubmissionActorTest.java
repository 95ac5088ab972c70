package org.chivetally.entry.submission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.testkit.typed.javadsl.BehaviorTestKit;
import org.chivetally.claim.Claim;
import org.chivetally.claim.ClaimDecision;
import org.chivetally.claim.Coordinator;
import org.chivetally.claim.SubmissionKey;
import org.chivetally.coordination.DispatchEvent;
import org.chivetally.errors.ErrorCode;
import org.chivetally.job.JobId;
import org.chivetally.job.JobOutcome;
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

    private static final long RETRY_MILLIS = 1_500;

    private final HeldDispatch dispatch = new HeldDispatch();
    private final UnavailableClaims claims = new UnavailableClaims();
    private final BehaviorTestKit<SubmissionCommand> actor = BehaviorTestKit.create(SubmissionActor.create(parts()));
    private boolean nobodyHas = true;
    private boolean membersRead = true;
    private long now;

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

    // The coordinator of a job has ended, and the members can't be read. An agent that ran the job's tasks may stand in
    // what was not read; without it all known agents would deny the tasks, and they would start again.
    @Test
    void nothingIsTakenOverBeforeTheMembersWereRead() {
        claims.decision = new ClaimDecision.Attached(new Claim(KEY, DIGEST, new JobId("job"), LEFT, 1, false));
        claims.lapsed = true;
        membersRead = false;
        submit();
        actor.run(new SubmissionCommand.Tick());
        handleAll();
        assertThat(claims.takeovers, is(0));
        membersRead = true;
        now += Duration.ofSeconds(1).toNanos();
        actor.run(new SubmissionCommand.Tick());
        assertThat(claims.takeovers, is(1));
    }

    // A caller sends a job to an entry that is full. The dispatcher refuses it, but a log that answers at once has the
    // claim before the refusal is told. The dispatcher would then hear that it may start what it has just refused.
    @Test
    void aClaimNeverOvertakesTheDispatchersRefusal() {
        claims.decision = new ClaimDecision.Won(new Claim(KEY, DIGEST, new JobId("job"), SELF, 1, false));
        dispatch.holdsBack = true;
        actor.run(new SubmissionCommand.Submit(submission(), new CompletableFuture<>()));
        handleAll();
        JobId refused = dispatch.submitted();
        actor.run(new SubmissionCommand.JobFinished(
                refused,
                new JobOutcome.Failure(ErrorCode.OVERLOADED, Certainty.NOT_RUN, "full", List.of(), RETRY_MILLIS)));
        dispatch.settle();
        handleAll();
        assertThat(dispatch.events, not(hasItem(instanceOf(DispatchEvent.JobClaimed.class))));
    }

    private boolean isKnown() {
        CompletableFuture<Boolean> known = new CompletableFuture<>();
        actor.run(new SubmissionCommand.AskKey(KEY, known::complete));
        return known.join();
    }

    /** Submits the key and returns the refusal's certainty. */
    private Optional<Certainty> submit() {
        CompletableFuture<SubmissionReply> reply = new CompletableFuture<>();
        actor.run(new SubmissionCommand.Submit(submission(), reply));
        handleAll();
        return reply.join() instanceof SubmissionReply.Refused refused
                ? Optional.of(refused.failure().certainty())
                : Optional.empty();
    }

    private static Submission submission() {
        TaskSpecification task = new TaskSpecification("1", Resources.NONE);
        JobSpecification job = new JobSpecification("routing", "team", Duration.ofSeconds(10), List.of(task));
        return new Submission(KEY, false, DIGEST, job);
    }

    private void handleAll() {
        while (actor.selfInbox().hasMessages()) {
            actor.run(actor.selfInbox().receiveMessage());
        }
    }

    private SubmissionActor.Parts parts() {
        return new SubmissionActor.Parts(
                SELF,
                new SubmissionSettings(Duration.ofMinutes(10), 1 << 20),
                claims,
                dispatch,
                new Asked(),
                new UndeclaredPolicies(),
                () -> CompletableFuture.completedStage(membersRead),
                () -> new JobId("job-" + System.nanoTime()),
                () -> now,
                InstantSource.system(),
                (outcome, nanos) -> {});
    }

    /** A dispatcher whose decisions the test makes. */
    private static final class HeldDispatch implements Dispatch {
        private final List<DispatchEvent> events = new ArrayList<>();
        private final List<Runnable> heldBack = new ArrayList<>();
        private boolean holdsBack;

        @Override
        public void tell(DispatchEvent event) {
            events.add(event);
        }

        @Override
        public void afterwards(Runnable then) {
            if (holdsBack) {
                heldBack.add(then);
            } else {
                then.run();
            }
        }

        void settle() {
            heldBack.forEach(Runnable::run);
        }

        JobId submitted() {
            return events.stream()
                    .filter(DispatchEvent.JobSubmitted.class::isInstance)
                    .map(event -> ((DispatchEvent.JobSubmitted) event).job())
                    .findFirst()
                    .orElseThrow();
        }
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
