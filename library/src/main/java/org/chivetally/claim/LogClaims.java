package org.chivetally.claim;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.Props;
import org.chivetally.job.JobId;
import org.chivetally.job.ServicePolicy.ClaimMode;
import org.chivetally.log.PlatformLog;
import org.chivetally.time.NanoClock;

/**
 * Claims that are decided by the order of records in the platform log.
 *
 * <p>An actor reads the stream {@value #STREAM} and appends this process's records to it. Thread-safe. Stages complete
 * on the actor's thread, so dependent actions must not block.
 */
public final class LogClaims implements Claims {
    /** Name of the stream of claim records. */
    public static final String STREAM = "claims";

    /** Name of the stream of snapshots of the claim table. */
    public static final String SNAPSHOT_STREAM = "claim-snapshots";

    private final ActorRef<ClaimsCommand> actor;
    private final ClaimSettings settings;
    private final Coordinator self;
    private final NanoClock clock;
    private final LeaseTable leases;
    private final OwnLease lease;
    private final AtomicBoolean caughtUp;

    private LogClaims(
            ActorRef<ClaimsCommand> actor,
            ClaimSettings settings,
            Coordinator self,
            NanoClock clock,
            LeaseTable leases,
            OwnLease lease,
            AtomicBoolean caughtUp) {
        this.actor = actor;
        this.settings = settings;
        this.self = self;
        this.clock = clock;
        this.leases = leases;
        this.lease = lease;
        this.caughtUp = caughtUp;
    }

    /**
     * Starts reading the stream and acquiring the lease.
     *
     * @param self this process; its incarnation must never have been used before
     */
    public static LogClaims start(
            ActorSystem<?> system,
            PlatformLog log,
            ClaimSettings settings,
            Coordinator self,
            NanoClock clock,
            MeterRegistry meters) {
        Objects.requireNonNull(log, "log");
        LeaseTable leases = new LeaseTable(settings.lease(), settings.longestTicketAge());
        OwnLease lease = new OwnLease(settings.lease());
        AtomicBoolean caughtUp = new AtomicBoolean();
        ClaimStateMachine stateMachine = new ClaimStateMachine(settings, self, leases, lease, clock);
        ClaimMeters claimMeters = new ClaimMeters(meters, lease, clock);
        ActorRef<ClaimsCommand> actor = system.systemActorOf(
                ClaimsActor.create(stateMachine, log, settings, self, clock, claimMeters, caughtUp),
                "claims-" + UUID.randomUUID(),
                Props.empty());
        return new LogClaims(actor, settings, self, clock, leases, lease, caughtUp);
    }

    @Override
    public CompletionStage<ClaimDecision> claim(SubmissionKey key, String bodyDigest, JobId job) {
        return claim(key, bodyDigest, job, ClaimMode.LOG);
    }

    @Override
    public CompletionStage<ClaimDecision> claim(SubmissionKey key, String bodyDigest, JobId job, ClaimMode mode) {
        ClaimRecord.Claimed claimed = new ClaimRecord.Claimed(key, bodyDigest, job, self, settings.recordedWindow());
        CompletableFuture<ClaimDecision> reply = new CompletableFuture<>();
        actor.tell(new ClaimsCommand.MakeClaim(claimed, mode, reply));
        return reply;
    }

    @Override
    public CompletionStage<ClaimDecision> takeOver(Claim current) {
        CompletableFuture<ClaimDecision> reply = new CompletableFuture<>();
        actor.tell(new ClaimsCommand.TakeOver(current, reply));
        return reply;
    }

    @Override
    public CompletionStage<Optional<Claim>> find(JobId job) {
        CompletableFuture<Optional<Claim>> reply = new CompletableFuture<>();
        actor.tell(new ClaimsCommand.FindJob(job, reply));
        return reply;
    }

    @Override
    public CompletionStage<Optional<Claim>> find(SubmissionKey key) {
        CompletableFuture<Optional<Claim>> reply = new CompletableFuture<>();
        actor.tell(new ClaimsCommand.FindKey(key, reply));
        return reply;
    }

    @Override
    public void markFinished(Claim claim) {
        actor.tell(new ClaimsCommand.Finish(claim));
    }

    @Override
    public void release(Claim claim) {
        actor.tell(new ClaimsCommand.Release(claim));
    }

    @Override
    public boolean holdsLease() {
        return lease.isHeldAt(clock.nanos());
    }

    @Override
    public boolean hasLapsed(Coordinator coordinator) {
        return !coordinator.equals(self) && leases.hasLapsed(coordinator, clock.nanos());
    }

    @Override
    public boolean caughtUp() {
        return caughtUp.get();
    }

    @Override
    public CompletionStage<OptionalLong> claimedAfter(JobId job) {
        CompletableFuture<OptionalLong> reply = new CompletableFuture<>();
        actor.tell(new ClaimsCommand.FindClaimedAfter(job, reply));
        return reply;
    }

    @Override
    public OptionalLong readToEndAt() {
        return leases.readToEndAt();
    }

    @Override
    public CompletionStage<Void> depart() {
        lease.relinquish();
        CompletableFuture<Void> reply = new CompletableFuture<>();
        actor.tell(new ClaimsCommand.Depart(reply));
        return reply;
    }

    @Override
    public void onLeaseChange(Consumer<Boolean> listener) {
        actor.tell(new ClaimsCommand.AddLeaseListener(listener));
    }

    @Override
    public void onReplaced(Consumer<Claim> listener) {
        actor.tell(new ClaimsCommand.AddReplacedListener(listener));
    }

    @Override
    public void onLeaseExtended(LongConsumer listener) {
        actor.tell(new ClaimsCommand.AddLeaseExtendedListener(listener));
    }

    /**
     * Stops reading and appending. Pending claims are refused as not run, and the lease ends without a record in the
     * log.
     */
    public void stop() {
        lease.relinquish();
        actor.tell(new ClaimsCommand.Stop());
    }
}
