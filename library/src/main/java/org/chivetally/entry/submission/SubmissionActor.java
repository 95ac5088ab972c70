package org.chivetally.entry.submission;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.chivetally.claim.Claim;
import org.chivetally.claim.ClaimDecision;
import org.chivetally.claim.Claims;
import org.chivetally.claim.Coordinator;
import org.chivetally.coordination.DispatchEvent;
import org.chivetally.entry.submission.SubmissionCommand.AttachAnswer;
import org.chivetally.entry.submission.SubmissionCommand.Awaited;
import org.chivetally.errors.ErrorCode;
import org.chivetally.job.JobId;
import org.chivetally.job.JobOutcome;
import org.chivetally.job.JobOutcome.Certainty;
import org.chivetally.job.ServicePolicies;
import org.chivetally.job.ServicePolicy;
import org.chivetally.job.TeamPolicy;
import org.chivetally.logging.EventLine;
import org.chivetally.time.NanoClock;

/** Claims submissions, hands them to the dispatcher, and finds the outcomes of jobs that other entries coordinate. */
public final class SubmissionActor extends AbstractBehavior<SubmissionCommand> {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

    private final ActorRef<SubmissionCommand> self;
    private final Parts parts;
    private final JobLedger ledger;
    private final RemoteJobs remotes;
    private final AttachedCallers attached = new AttachedCallers();
    private final Map<String, TeamPolicy> teams = new HashMap<>();
    private final List<CompletableFuture<Void>> draining = new ArrayList<>();
    private boolean stopping;

    private SubmissionActor(ActorContext<SubmissionCommand> context, Parts parts) {
        super(context);
        this.self = context.getSelf();
        this.parts = parts;
        this.ledger = new JobLedger(
                parts.settings().dedupeWindow().toNanos(), parts.settings().maximumKeptBytes());
        this.remotes = new RemoteJobs(parts, this::tell, this::runTakenOver);
    }

    /** Creates the behavior. */
    public static Behavior<SubmissionCommand> create(Parts parts) {
        return Behaviors.setup(context -> Behaviors.withTimers(timers -> {
            timers.startTimerWithFixedDelay(new SubmissionCommand.Tick(), TICK_INTERVAL);
            return new SubmissionActor(context, parts);
        }));
    }

    @Override
    public Receive<SubmissionCommand> createReceive() {
        return newReceiveBuilder()
                .onMessage(SubmissionCommand.Stop.class, stop -> Behaviors.stopped())
                .onMessage(SubmissionCommand.class, command -> {
                    handle(command);
                    endDrainWhenIdle();
                    return this;
                })
                .build();
    }

    private void handle(SubmissionCommand command) {
        switch (command) {
            case SubmissionCommand.Submit submit -> onSubmit(submit);
            case SubmissionCommand.JobFinished finished -> onJobFinished(finished);
            case SubmissionCommand.PeerAnswered answered -> remotes.answered(answered);
            case SubmissionCommand.Attach attach -> onAttach(attach);
            case SubmissionCommand.AskKey ask -> onAskKey(ask);
            case SubmissionCommand.CancelForPeer cancel -> cancelHere(cancel.job());
            case SubmissionCommand.Await await -> onAwait(await);
            case SubmissionCommand.ListJobs list -> list.reply().complete(statuses(list.team(), list.limit()));
            case SubmissionCommand.Drain drain -> onDrain(drain);
            case SubmissionCommand.ClaimDecided decided -> onClaimDecided(decided);
            case SubmissionCommand.TakeoverDecided decided -> remotes.takeoverDecided(decided);
            case SubmissionCommand.ClaimRefreshed refreshed -> remotes.refreshed(refreshed.claim());
            case SubmissionCommand.Replaced replaced -> onReplaced(replaced.claim());
            case SubmissionCommand.AwaitedFound found -> onAwaitedFound(found);
            case SubmissionCommand.RefusedFound found -> onRefusedFound(found);
            case SubmissionCommand.Tick tick -> onTick();
            case SubmissionCommand.Stop stop -> throw new IllegalStateException("handled before");
        }
    }

    private void onSubmit(SubmissionCommand.Submit submit) {
        Submission submission = submit.submission();
        if (stopping) {
            refuse(submission, certainty -> Failures.notReady(certainty, "this entry is stopping"), submit.reply());
            return;
        }
        Optional<JobRecord> open = ledger.find(submission.key())
                .filter(present -> present.phase() != JobStatus.Phase.FINAL)
                .filter(present -> present.digest().equals(submission.digest()));
        if (open.isPresent()) {
            join(open.get(), submission, submit.reply());
            return;
        }
        JobRecord record = new JobRecord(
                parts.jobIds().get(),
                submission,
                parts.time().instant(),
                parts.clock().nanos());
        record.addAccepting(submit.reply());
        ledger.add(record);
        ServicePolicy service =
                parts.policies().service(submission.specification().service());
        dispatch(record.job(), submission, service, Claim.FIRST_GENERATION);
        parts.claims()
                .claim(submission.key(), submission.digest(), record.job(), service.claimMode())
                .thenAccept(decision -> claimDecided(record.job(), decision));
    }

    // The dispatcher's refusal has to come first. A claim that overtakes it is told to the dispatcher as the word to
    // start a job that it has just refused, and only then released.
    private void claimDecided(JobId job, ClaimDecision decision) {
        parts.dispatch().afterwards(() -> tell(new SubmissionCommand.ClaimDecided(job, decision)));
    }

    private void join(JobRecord record, Submission submission, CompletableFuture<SubmissionReply> reply) {
        long until = deadlineOf(submission);
        if (record.phase() == JobStatus.Phase.CLAIMING) {
            record.addAccepting(attached.reply(reply, until));
            return;
        }
        reply.complete(new SubmissionReply.Accepted(record.job(), attached.outcome(record.done(), until)));
    }

    private long deadlineOf(Submission submission) {
        return parts.clock().nanos() + submission.specification().deadline().toNanos();
    }

    private void dispatch(JobId job, Submission submission, ServicePolicy service, int generation) {
        announceTeam(submission.specification().team());
        parts.dispatch().tell(new DispatchEvent.JobSubmitted(job, submission.specification(), service, generation));
    }

    private void announceTeam(String name) {
        TeamPolicy policy = parts.policies().team(name);
        boolean undeclared = policy.equals(TeamPolicy.undeclared(name));
        TeamPolicy before = undeclared ? teams.remove(name) : teams.put(name, policy);
        boolean changed = undeclared ? before != null : !policy.equals(before);
        if (changed) {
            parts.dispatch().tell(new DispatchEvent.TeamChanged(policy));
        }
    }

    private void onClaimDecided(SubmissionCommand.ClaimDecided decided) {
        Optional<JobRecord> found = ledger.find(decided.job());
        if (found.isEmpty()) {
            return;
        }
        JobRecord record = found.get();
        switch (decided.decision()) {
            case ClaimDecision.Won won -> onWon(record, won.claim());
            case ClaimDecision.Attached attached -> onLost(record, attached.claim());
            case ClaimDecision.KeyReused reused -> onKeyReused(record);
            case ClaimDecision.LogUnavailable unavailable -> onLogUnavailable(record, unavailable.reason());
        }
    }

    private void onWon(JobRecord record, Claim claim) {
        Optional<JobOutcome> early = record.outcome();
        record.claimed(claim);
        if (early.isPresent()) {
            finish(record, early.get());
        } else {
            parts.dispatch().tell(new DispatchEvent.JobClaimed(record.job(), claim.generation()));
            LOGGER.atInfo().log("%s", line("job-claimed", record));
        }
        replyAll(record, new SubmissionReply.Accepted(record.job(), record.done()));
    }

    private void onLost(JobRecord record, Claim claim) {
        Submission submission = record.submission();
        withdraw(record);
        LOGGER.atInfo().log(
                "%s",
                line("job-attached", record)
                        .with("to", claim.job())
                        .with("coordinator", claim.coordinator().processId()));
        SubmissionReply reply = attach(claim, submission);
        replyAll(record, reply);
        switch (reply) {
            case SubmissionReply.Accepted accepted -> accepted.outcome().thenAccept(record::finish);
            case SubmissionReply.Refused refused -> record.finish(refused.failure());
        }
    }

    private void onKeyReused(JobRecord record) {
        withdraw(record);
        replyAll(record, new SubmissionReply.Refused(Failures.keyReused()));
        record.finish(Failures.keyReused());
    }

    private SubmissionReply attach(Claim claim, Submission submission) {
        if (!isSelf(claim.coordinator())) {
            return attachRemote(claim, submission);
        }
        Optional<JobRecord> own = ledger.find(claim.job());
        if (own.isEmpty()) {
            return new SubmissionReply.Refused(Failures.nothingKept());
        }
        JobRecord record = own.get();
        return new SubmissionReply.Accepted(record.job(), attached.outcome(record.done(), deadlineOf(submission)));
    }

    private SubmissionReply attachRemote(Claim claim, Submission submission) {
        return new SubmissionReply.Accepted(claim.job(), remotes.attach(claim, submission, deadlineOf(submission)));
    }

    private void onLogUnavailable(JobRecord record, String reason) {
        Submission submission = record.submission();
        parts.dispatch().tell(new DispatchEvent.JobWithdrawn(record.job()));
        List<CompletableFuture<SubmissionReply>> callers = record.takeAccepting();
        finish(record, Failures.logUnavailable(Certainty.NOT_RUN, reason));
        for (CompletableFuture<SubmissionReply> caller : callers) {
            refuse(submission, certainty -> Failures.logUnavailable(certainty, reason), caller);
        }
    }

    /** Refuses a submission without a claim; what is certain depends on whether its key may have been used before. */
    private void refuse(
            Submission submission, SubmissionCommand.Refusal refusal, CompletableFuture<SubmissionReply> reply) {
        if (submission.keyGenerated()) {
            reply.complete(new SubmissionReply.Refused(refusal.with(Certainty.NOT_RUN)));
            return;
        }
        // Asked for first, so that the claims found are at least as new as that.
        OptionalLong readToEndAt = parts.claims().readToEndAt();
        parts.claims()
                .find(submission.key())
                .thenAccept(claim ->
                        tell(new SubmissionCommand.RefusedFound(submission, claim, readToEndAt, refusal, reply)));
    }

    // A resubmission that is refused here may be running elsewhere: "not run" would be false, and its caller could
    // send the same offer again under a new key. An earlier submission that the claims read so far show is joined
    // instead of refused. One whose claim was written after the last read is known to the entry that wrote it, so all
    // are asked; if one does not answer, or has left since that read, or nothing was ever read, nothing is certain.
    private void onRefusedFound(SubmissionCommand.RefusedFound found) {
        Optional<Claim> claim = found.claim();
        // An entry that has not read the log yet knows of no earlier submission, so that it can't exclude one either.
        if (claim.isEmpty()
                && (!parts.claims().caughtUp() || found.readToEndAt().isEmpty())) {
            found.reply().complete(new SubmissionReply.Refused(found.refusal().with(Certainty.UNKNOWN)));
            return;
        }
        if (claim.isEmpty()) {
            parts.peers()
                    .nobodyHas(found.submission().key(), found.readToEndAt().getAsLong())
                    .thenAccept(certain -> found.reply()
                            .complete(new SubmissionReply.Refused(
                                    found.refusal().with(certain ? Certainty.NOT_RUN : Certainty.UNKNOWN))));
            return;
        }
        if (!claim.get().bodyDigest().equals(found.submission().digest())) {
            found.reply().complete(new SubmissionReply.Refused(Failures.keyReused()));
            return;
        }
        found.reply().complete(joinEarlier(claim.get(), found));
    }

    private SubmissionReply joinEarlier(Claim claim, SubmissionCommand.RefusedFound found) {
        if (stopping && !isSelf(claim.coordinator())) {
            return new SubmissionReply.Refused(found.refusal().with(Certainty.UNKNOWN));
        }
        return attach(claim, found.submission());
    }

    private void onJobFinished(SubmissionCommand.JobFinished finished) {
        Optional<JobRecord> found = ledger.find(finished.job());
        if (found.isEmpty()) {
            return;
        }
        JobRecord record = found.get();
        switch (record.phase()) {
            case CLAIMING -> onEndedEarly(record, finished.outcome());
            case RUNNING -> finish(record, finished.outcome());
            default -> LOGGER.atWarning().log("%s", line("job-finished-twice", record));
        }
    }

    // The claim of a slow log may come long after the deadline. Callers are told in time that the deadline passed; as
    // the log has not said yet whether an earlier submission of the key runs, "not run" is only certain of a new key.
    private static void onEndedEarly(JobRecord record, JobOutcome outcome) {
        record.endedEarly(outcome);
        if (!(outcome instanceof JobOutcome.Failure failure) || failure.code() != ErrorCode.DEADLINE_EXCEEDED) {
            return;
        }
        Certainty certainty = record.submission().keyGenerated() ? Certainty.NOT_RUN : Certainty.UNKNOWN;
        replyAll(record, new SubmissionReply.Refused(Failures.claimTooLate(certainty)));
    }

    private void finish(JobRecord record, JobOutcome outcome) {
        long now = parts.clock().nanos();
        record.claim().ifPresent(claim -> endClaim(claim, outcome));
        ledger.finish(record, outcome, now);
        parts.finished().accept(outcome, now - record.submittedNanos());
        LOGGER.atInfo().log("%s", finalLine(record, outcome, now));
    }

    // A job that was refused as not run would keep its key, and its caller would get the same refusal for the whole
    // dedupe window, also when there is room again. Nothing of it was started and nothing will be, so its key is set
    // free.
    private void endClaim(Claim claim, JobOutcome outcome) {
        if (isPassingRefusal(outcome)) {
            parts.claims().release(claim);
        } else {
            parts.claims().markFinished(claim);
        }
    }

    private static boolean isPassingRefusal(JobOutcome outcome) {
        return outcome instanceof JobOutcome.Failure failure
                && failure.certainty() == Certainty.NOT_RUN
                && failure.code() != ErrorCode.CANCELLED;
    }

    private void withdraw(JobRecord record) {
        parts.dispatch().tell(new DispatchEvent.JobWithdrawn(record.job()));
        ledger.withdraw(record);
    }

    private static void replyAll(JobRecord record, SubmissionReply reply) {
        record.takeAccepting().forEach(caller -> caller.complete(reply));
    }

    private void runTakenOver(RemoteJob remote, Claim claim, OptionalLong claimedAfterNanos) {
        Submission submission = remote.submission().orElseThrow();
        JobRecord record = new JobRecord(
                claim.job(), submission, parts.time().instant(), parts.clock().nanos());
        ledger.add(record);
        record.claimed(claim);
        record.done().thenAccept(remote::complete);
        dispatch(
                claim.job(),
                submission,
                parts.policies().service(submission.specification().service()),
                claim.generation());
        parts.dispatch()
                .tell(new DispatchEvent.JobClaimed(
                        claim.job(), claim.generation(), claimedAfterNanos, claim.finished()));
        LOGGER.atInfo().log("%s", line("job-taken-over", record).with("generation", claim.generation()));
    }

    // Another entry took the job over while this one's lease had lapsed; results that still come here may be of
    // attempts that the other one knows nothing of. Whoever waits here gets the other entry's outcome, so that all
    // callers of a key get the same, or hear at the deadline that the outcome is unknown.
    private void onReplaced(Claim claim) {
        Optional<JobRecord> found =
                ledger.find(claim.job()).filter(record -> record.phase() == JobStatus.Phase.RUNNING);
        if (found.isEmpty() || isSelf(claim.coordinator())) {
            return;
        }
        JobRecord record = found.get();
        LOGGER.atWarning().log(
                "%s",
                line("job-replaced", record).with("by", claim.coordinator().processId()));
        remotes.await(claim, record.deadlineNanos()).thenAccept(record::finish);
        withdraw(record);
    }

    private void onAttach(SubmissionCommand.Attach attach) {
        Optional<JobRecord> found = ledger.find(attach.job());
        if (found.isEmpty()) {
            attach.reply().accept(new AttachAnswer(attach.job(), Optional.empty()));
            return;
        }
        found.get()
                .done()
                .thenAccept(outcome -> attach.reply().accept(new AttachAnswer(attach.job(), Optional.of(outcome))));
    }

    // The asking entry says "not run" when no entry knows the key. The one that had its job may have left, or have been
    // killed and started again without memory, and the ledger drops jobs for lack of room; so the claims read here
    // count
    // too, and without them nothing is denied.
    private void onAskKey(SubmissionCommand.AskKey ask) {
        Optional<JobRecord> own = ledger.find(ask.key());
        boolean refused = own.flatMap(JobRecord::outcome)
                .filter(SubmissionActor::isPassingRefusal)
                .isPresent();
        if (!parts.claims().caughtUp() || own.isPresent() && !refused) {
            ask.reply().accept(true);
            return;
        }
        parts.claims()
                .find(ask.key())
                .thenAccept(claim -> ask.reply()
                        .accept(claim.filter(other -> own.isEmpty()
                                        || !other.job().equals(own.get().job()))
                                .isPresent()));
    }

    private boolean cancelHere(JobId job) {
        Optional<JobRecord> open = ledger.find(job).filter(record -> record.phase() != JobStatus.Phase.FINAL);
        open.ifPresent(record -> parts.dispatch().tell(new DispatchEvent.JobCancelled(job)));
        return open.isPresent();
    }

    private void onAwait(SubmissionCommand.Await await) {
        Optional<JobRecord> own = ledger.find(await.job());
        if (own.isPresent()) {
            awaitOwn(await, own.get());
            return;
        }
        parts.claims().find(await.job()).thenAccept(claim -> tell(new SubmissionCommand.AwaitedFound(await, claim)));
    }

    private void awaitOwn(SubmissionCommand.Await await, JobRecord record) {
        if (await.cancel()) {
            cancelHere(record.job());
        }
        await.reply()
                .complete(Optional.of(new Awaited(record.status(parts.self().processId()), record.done(), true)));
    }

    private void onAwaitedFound(SubmissionCommand.AwaitedFound found) {
        SubmissionCommand.Await await = found.await();
        Optional<JobRecord> own = ledger.find(await.job());
        if (own.isPresent()) {
            awaitOwn(await, own.get());
            return;
        }
        await.reply().complete(found.claim().map(claim -> awaitClaimed(await, claim)));
    }

    private Awaited awaitClaimed(SubmissionCommand.Await await, Claim claim) {
        if (isSelf(claim.coordinator())) {
            CompletionStage<JobOutcome> nothing = CompletableFuture.completedFuture(Failures.nothingKept());
            return new Awaited(remoteStatus(claim), nothing, true);
        }
        if (await.cancel()) {
            parts.peers().cancel(claim.coordinator(), claim.job());
        }
        return new Awaited(remoteStatus(claim), remotes.await(claim, await.until()), false);
    }

    private static JobStatus remoteStatus(Claim claim) {
        return new JobStatus(
                claim.job(),
                "",
                claim.key().team(),
                0,
                claim.finished() ? JobStatus.Phase.FINAL : JobStatus.Phase.RUNNING,
                claim.coordinator().processId(),
                claim.generation(),
                Optional.empty(),
                Optional.empty());
    }

    private List<JobStatus> statuses(Optional<String> team, int limit) {
        return ledger.recent(team, limit).stream()
                .map(record -> record.status(parts.self().processId()))
                .toList();
    }

    private void onTick() {
        long now = parts.clock().nanos();
        ledger.expire(now);
        remotes.tick(now);
        attached.expire(now);
    }

    private void onDrain(SubmissionCommand.Drain drain) {
        stopping = true;
        draining.add(drain.drained());
    }

    private void endDrainWhenIdle() {
        if (!stopping || ledger.open() > 0 || !remotes.isEmpty()) {
            return;
        }
        draining.forEach(waiting -> waiting.complete(null));
        draining.clear();
    }

    private boolean isSelf(Coordinator coordinator) {
        return RemoteJobs.isSame(coordinator, parts.self());
    }

    private void tell(SubmissionCommand command) {
        self.tell(command);
    }

    private static EventLine line(String event, JobRecord record) {
        return EventLine.of(event)
                .with("job", record.job())
                .with("team", record.key().team());
    }

    private static EventLine finalLine(JobRecord record, JobOutcome outcome, long now) {
        EventLine line = line("job-final", record)
                .with("micros", Duration.ofNanos(now - record.submittedNanos()).toNanos() / 1_000);
        return switch (outcome) {
            case JobOutcome.Complete complete -> line.with("state", "complete");
            case JobOutcome.Failure failure ->
                line.with("state", "failed")
                        .with("code", failure.code().text())
                        .with("certainty", failure.certainty().text());
        };
    }

    /**
     * What the actor works with.
     *
     * @param self this entry's incarnation
     * @param membersCaughtUp reads the members to their end and tells the dispatcher; false when that failed
     * @param finished told of each outcome with the nanoseconds since the submission
     */
    public record Parts(
            Coordinator self,
            SubmissionSettings settings,
            Claims claims,
            Dispatch dispatch,
            Peers peers,
            ServicePolicies policies,
            Supplier<CompletionStage<Boolean>> membersCaughtUp,
            Supplier<JobId> jobIds,
            NanoClock clock,
            InstantSource time,
            FinishedObserver finished) {}

    /** Told of final outcomes. */
    @FunctionalInterface
    public interface FinishedObserver {
        /** A job is final. */
        void accept(JobOutcome outcome, long nanos);
    }
}
