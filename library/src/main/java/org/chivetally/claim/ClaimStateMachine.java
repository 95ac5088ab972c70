package org.chivetally.claim;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.chivetally.job.JobId;
import org.chivetally.job.ServicePolicy.ClaimMode;
import org.chivetally.log.AppendOutcome;
import org.chivetally.log.LogRecord;
import org.chivetally.logging.EventLine;
import org.chivetally.time.NanoClock;

/**
 * The claim protocol of one process: decides claims and leases from the records of the claims stream, and determines
 * which records are appended to it.
 *
 * <p>Uses no threads, no timers and no log of its own. {@link ClaimsActor} passes in events with the current clock
 * reading, then drains the effects and sends the next append.
 */
final class ClaimStateMachine {
    private final ClaimSettings settings;
    private final Coordinator self;
    private final String writer;
    private final LeaseTable leases;
    private final LeaseManager leaseManager;
    private final GroupCommit commit;
    private final StreamTime streamTime;
    private final ReadTimeline readTimeline = new ReadTimeline();
    private final PendingMemoryClaims memoryClaims;
    private final LogHealth logHealth = new LogHealth();
    private final Map<ClaimRecord, PendingClaim> pendingClaims = new LinkedHashMap<>();
    private final Map<ClaimRecord, Long> abandonedSequences = new LinkedHashMap<>();
    private final Set<JobId> releasingJobs = new HashSet<>();
    private List<ClaimEffect> effects = new ArrayList<>();
    private ClaimTable table = new ClaimTable();
    private boolean caughtUp;
    private long readSequence;

    /**
     * Creates the state machine of a process that has read nothing yet.
     *
     * @param self this process
     * @param leases leases of other coordinators, shared with other threads
     * @param lease this process's lease, shared with other threads
     * @param clock read only for claims that are decided in memory
     */
    ClaimStateMachine(ClaimSettings settings, Coordinator self, LeaseTable leases, OwnLease lease, NanoClock clock) {
        long nanos = clock.nanos();
        this.settings = settings;
        this.self = self;
        this.writer = RecordId.writerOf(self);
        this.leases = leases;
        this.leaseManager = new LeaseManager(settings, self, lease);
        this.commit = new GroupCommit(settings.commit(), nanos);
        this.streamTime = new StreamTime(nanos);
        this.memoryClaims = new PendingMemoryClaims(self, settings.window(), clock);
    }

    /** Claims a key; the decision is returned as an effect, now or later. */
    void claim(ClaimRecord.Claimed claimed, ClaimMode mode, CompletableFuture<ClaimDecision> reply, long nanos) {
        Optional<ClaimDecision> decision = decideFromClaimInForce(claimed);
        if (decision.isPresent()) {
            decide(claimed.key(), reply, decision.get());
            return;
        }
        if (mode == ClaimMode.MEMORY && logHealth.isDown()) {
            decide(claimed.key(), reply, claimInMemory(claimed));
            return;
        }
        Optional<String> refusal = mode == ClaimMode.MEMORY ? departureReason() : refusalReason();
        if (refusal.isPresent()) {
            decide(claimed.key(), reply, unavailable(refusal.get()));
            return;
        }
        enqueue(new PendingClaim(claimed, mode, reply, nanos));
    }

    /**
     * Takes a job over from a coordinator whose lease has lapsed; the decision is returned as an effect, now or later.
     */
    void takeOver(Claim current, CompletableFuture<ClaimDecision> reply, long nanos) {
        Optional<Claim> inForce = table.find(current.key());
        if (inForce.isEmpty()) {
            decide(current.key(), reply, unavailable("the claim is no longer in force"));
            return;
        }
        Claim claim = inForce.get();
        boolean unchanged = claim.job().equals(current.job()) && claim.generation() == current.generation();
        if (!unchanged || claim.coordinator().equals(self) || !leases.hasLapsed(claim.coordinator(), nanos)) {
            decide(current.key(), reply, new ClaimDecision.Attached(claim));
            return;
        }
        Optional<String> refusal = refusalReason();
        if (refusal.isPresent()) {
            decide(current.key(), reply, unavailable(refusal.get()));
            return;
        }
        long lastRenewal = table.lastRenewalOf(claim.coordinator());
        ClaimRecord.TakenOver taken =
                new ClaimRecord.TakenOver(claim.key(), claim.job(), self, claim.generation() + 1, lastRenewal);
        enqueue(new PendingClaim(taken, ClaimMode.LOG, reply, nanos));
    }

    /** Queues the record that a job has its final outcome. */
    void markFinished(Claim claim) {
        commit.addLazy(new ClaimRecord.Finished(claim.key(), claim.job()));
    }

    /**
     * Ends the lease. From now on this process starts nothing, and once the record is read, others wait only for the
     * longest ticket age before they may take over its jobs.
     */
    void depart(long nanos) {
        if (leaseManager.isDeparting()) {
            return;
        }
        abandonAll(nanos);
        commit.addUrgent(new ClaimRecord.Departed(self));
        detectLeaseChange(nanos);
    }

    /**
     * Applies the records that a read returned.
     *
     * @param endOffset end of the stream at the time of the read
     * @param sentNanos monotonic clock reading before the read was sent, in nanoseconds
     * @param nanos current monotonic clock reading in nanoseconds
     */
    void recordsRead(List<LogRecord> records, long endOffset, long sentNanos, long nanos) {
        logHealth.readSucceeded();
        for (LogRecord logRecord : records) {
            fold(logRecord, nanos);
        }
        streamTime.advanceTo(table.streamMillis(), nanos);
        readTimeline.recordEnd(endOffset, sentNanos);
        if (table.nextOffset() >= endOffset) {
            leases.recordReadToEnd(sentNanos);
            recordCaughtUp(endOffset);
        }
        resolveReadRecords(nanos);
    }

    /** Handles a failed read. */
    void readFailed(String reason) {
        if (logHealth.readFailed()) {
            write(EventLine.of("claims-log-unreadable").with("reason", reason));
        }
    }

    /** Handles the outcome of an append. */
    void appendCompleted(long number, AppendOutcome outcome, long nanos) {
        if (!commit.appendCompleted(number, outcome, nanos)) {
            return;
        }
        logHealth.appended(outcome);
        ClaimLines.of(outcome).ifPresent(this::write);
    }

    /** Replaces the table by a snapshot, unless the table already covers as many records. */
    void restore(TableImage image, long nanos) {
        if (image.nextOffset() <= table.nextOffset()) {
            return;
        }
        table = ClaimTable.of(image);
        image.claims().forEach(claim -> leases.track(claim.coordinator(), nanos));
        streamTime.advanceTo(table.streamMillis(), nanos);
        resolveReadRecords(nanos);
    }

    /**
     * Skips records that have expired in the log. Their windows have ended, as no window is longer than the log's
     * retention.
     */
    void skipTo(long offset) {
        write(EventLine.of("claims-expired").with("from", table.nextOffset()).with("to", offset));
        table.skipTo(offset);
    }

    /** Ends the lease and refuses all pending claims, as this process stops. */
    void abandonAll(long nanos) {
        leaseManager.depart(nanos);
        List.copyOf(pendingClaims.values()).forEach(claim -> abandon(claim, nanos));
        pendingClaims.clear();
    }

    /** Handles the periodic timer: abandons claims that have timed out, renews the lease and detects its loss. */
    void tick(long nanos) {
        abandonTimedOut(nanos);
        renew(nanos);
        detectLeaseChange(nanos);
        if (leaseManager.isDepartureOverdue(nanos)) {
            confirmDeparture();
        }
    }

    /**
     * Returns the next append if one may be sent now. The lease is measured from {@code nanos}, which must be read
     * before sending.
     */
    Optional<GroupCommit.Batch> nextAppend(long nanos) {
        Optional<GroupCommit.Batch> batch = commit.poll(nanos, streamTime.estimate(nanos));
        batch.ifPresent(sent -> sent.records().forEach(outgoing -> recordSending(outgoing, nanos)));
        return batch;
    }

    /** Returns and removes the effects since the last call, in order. */
    List<ClaimEffect> drainEffects() {
        List<ClaimEffect> drained = effects;
        effects = new ArrayList<>();
        return drained;
    }

    /** Returns the claim in force for a key. */
    Optional<Claim> find(SubmissionKey key) {
        return table.find(key).or(() -> memoryClaims.find(key));
    }

    /** Returns the claim in force for a job. */
    Optional<Claim> find(JobId job) {
        return table.find(job).or(() -> memoryClaims.find(job));
    }

    /**
     * Returns a monotonic clock reading, in nanoseconds, after which a job was claimed in the log; empty if none is
     * known.
     */
    OptionalLong claimedAfter(JobId job) {
        OptionalLong offset = table.offsetOf(job);
        return offset.isPresent() ? readTimeline.writtenAfter(offset.getAsLong()) : OptionalLong.empty();
    }

    /** Returns the table's content, for a snapshot. */
    TableImage image() {
        return table.image();
    }

    /** Returns the number of claims in the table. */
    int tableSize() {
        return table.size();
    }

    /** Returns the offset to read from. */
    long nextOffset() {
        return table.nextOffset();
    }

    /** Returns the stream time in milliseconds. */
    long streamMillis() {
        return table.streamMillis();
    }

    /** Returns whether the log may hold the next read back until there is a record. */
    boolean mayLongPoll() {
        return caughtUp && logHealth.isReadable();
    }

    /** Returns whether the log was read to its end at least once. */
    boolean caughtUp() {
        return caughtUp;
    }

    private Optional<String> departureReason() {
        return leaseManager.isDeparting() ? Optional.of("this process departs") : Optional.empty();
    }

    private Optional<String> refusalReason() {
        if (leaseManager.isDeparting()) {
            return departureReason();
        }
        if (logHealth.isDown()) {
            return Optional.of("the log can't be reached");
        }
        return caughtUp ? Optional.empty() : Optional.of("the log is not read to its end yet");
    }

    private Optional<ClaimDecision> decideFromClaimInForce(ClaimRecord.Claimed claimed) {
        return find(claimed.key())
                .filter(this::isRetained)
                .map(inForce -> decideAgainst(inForce, claimed.bodyDigest()));
    }

    /** Returns whether a claim is not about to be released by this process. */
    private boolean isRetained(Claim claim) {
        return !releasingJobs.contains(claim.job());
    }

    private static ClaimDecision decideAgainst(Claim inForce, String bodyDigest) {
        return inForce.bodyDigest().equals(bodyDigest)
                ? new ClaimDecision.Attached(inForce)
                : new ClaimDecision.KeyReused(inForce);
    }

    private void enqueue(PendingClaim claim) {
        Optional<PendingClaim> equivalent = findEquivalent(claim.content());
        if (equivalent.isPresent()) {
            equivalent.get().addFollower(claim.reply());
            return;
        }
        if (commit.offer(claim.content())) {
            pendingClaims.put(claim.content(), claim);
            return;
        }
        decide(claim.key(), claim.reply(), unavailable("too many claims wait for the log"));
    }

    /**
     * Returns the pending claim or takeover of equal effect. Takeovers of one job to the same generation are equivalent
     * even if they specify different renewals.
     */
    private Optional<PendingClaim> findEquivalent(ClaimRecord content) {
        if (!(content instanceof ClaimRecord.TakenOver taken)) {
            return Optional.ofNullable(pendingClaims.get(content));
        }
        return pendingClaims.values().stream()
                .filter(other ->
                        other.content() instanceof ClaimRecord.TakenOver earlier && earlier.competesWith(taken))
                .findFirst();
    }

    private ClaimDecision claimInMemory(ClaimRecord.Claimed claimed) {
        if (leaseManager.isDeparting()) {
            return unavailable("this process departs");
        }
        ClaimDecision decision = memoryClaims.decide(claimed);
        if (decision instanceof ClaimDecision.Won) {
            commit.addLazy(claimed);
            write(ClaimLines.of("claim-in-memory", claimed.key(), claimed.job()));
        }
        return decision;
    }

    private void fold(LogRecord logRecord, long nanos) {
        Optional<RecordId> id = RecordId.parse(logRecord.id());
        DecodedRecord decoded = id.isPresent()
                ? ClaimRecordCodec.decode(logRecord.payload())
                : new DecodedRecord.Skipped("malformed record id");
        switch (decoded) {
            case DecodedRecord.Valid valid ->
                apply(table.fold(logRecord.offset(), id.get(), valid.timestamped()), nanos);
            case DecodedRecord.Skipped skipped -> skip(logRecord, skipped.reason());
        }
    }

    private void skip(LogRecord logRecord, String reason) {
        table.skipTo(logRecord.offset() + 1);
        effects.add(new ClaimEffect.CountSkipped());
        write(EventLine.of("claim-record-skipped")
                .with("offset", logRecord.offset())
                .with("reason", reason));
    }

    private void apply(FoldResult folded, long nanos) {
        switch (folded) {
            case FoldResult.Won won -> leases.track(won.claim().coordinator(), nanos);
            case FoldResult.TakenOver taken -> applyTakenOver(taken, nanos);
            case FoldResult.Renewed renewed -> applyRenewed(renewed, nanos);
            case FoldResult.Departed departed -> applyDeparted(departed, nanos);
            case FoldResult.Released released ->
                releasingJobs.remove(released.claim().job());
            case FoldResult.Finished ignored -> {}
            case FoldResult.Unchanged ignored -> {}
        }
    }

    private void applyTakenOver(FoldResult.TakenOver taken, long nanos) {
        Claim claim = taken.claim();
        leases.track(claim.coordinator(), nanos);
        if (!taken.previous().equals(self)) {
            return;
        }
        releasingJobs.remove(claim.job());
        effects.add(new ClaimEffect.NotifyReplaced(claim));
        write(ClaimLines.of("claim-replaced", claim.key(), claim.job())
                .with("by", claim.coordinator().processId())
                .with("generation", claim.generation()));
    }

    private void applyRenewed(FoldResult.Renewed renewed, long nanos) {
        leases.recordRenewal(renewed.coordinator(), renewed.lease(), nanos);
        leaseManager.renewalRead(renewed).ifPresent(end -> effects.add(new ClaimEffect.NotifyLeaseExtended(end)));
    }

    private void applyDeparted(FoldResult.Departed departed, long nanos) {
        leases.recordDeparture(departed.coordinator(), nanos);
        if (departed.coordinator().equals(self)) {
            confirmDeparture();
        }
    }

    private void recordCaughtUp(long endOffset) {
        if (!caughtUp) {
            write(EventLine.of("claims-caught-up").with("offset", endOffset).with("claims", table.size()));
        }
        caughtUp = true;
    }

    /** Decides pending claims whose records have been read or are void, and releases abandoned ones that have won. */
    private void resolveReadRecords(long nanos) {
        long sequence = table.sequenceOf(writer);
        if (sequence > readSequence) {
            readSequence = sequence;
            logHealth.appendSucceeded();
        }
        commit.recordRead(sequence, nanos);
        releaseAbandoned(sequence);
        decidePending(sequence, nanos);
        memoryClaims.removeWritten(sequence).forEach(this::resolveMemoryClaim);
        releasingJobs.removeIf(job -> table.find(job).isEmpty());
        detectLeaseChange(nanos);
    }

    private void releaseAbandoned(long sequence) {
        Iterator<Map.Entry<ClaimRecord, Long>> entries =
                abandonedSequences.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<ClaimRecord, Long> entry = entries.next();
            if (entry.getValue() > sequence) {
                return;
            }
            release(entry.getKey());
            entries.remove();
        }
    }

    /** Releases a claim of this process of which nothing was started. */
    void release(Claim claim) {
        memoryClaims.release(claim.job());
        ownClaim(claim.key(), claim.job(), claim.generation()).ifPresent(this::releaseOwn);
    }

    /** Releases what an abandoned record has won; see {@link ClaimRecord.Released} for why that is safe. */
    private void release(ClaimRecord content) {
        ownClaimOf(content).ifPresent(this::releaseOwn);
    }

    private void releaseOwn(Claim claim) {
        releasingJobs.add(claim.job());
        commit.add(new ClaimRecord.Released(claim.key(), claim.job(), self, claim.generation()));
        write(ClaimLines.of("claim-released", claim.key(), claim.job()).with("generation", claim.generation()));
    }

    private Optional<Claim> ownClaimOf(ClaimRecord content) {
        return switch (content) {
            case ClaimRecord.Claimed claimed -> ownClaim(claimed.key(), claimed.job(), Claim.FIRST_GENERATION);
            case ClaimRecord.TakenOver taken -> ownClaim(taken.key(), taken.job(), taken.generation());
            default -> Optional.empty();
        };
    }

    private Optional<Claim> ownClaim(SubmissionKey key, JobId job, int generation) {
        return table.find(key)
                .filter(claim -> claim.job().equals(job))
                .filter(claim -> claim.generation() == generation)
                .filter(claim -> claim.coordinator().equals(self));
    }

    private void decidePending(long sequence, long nanos) {
        List<PendingClaim> read = pendingClaims.values().stream()
                .filter(claim -> claim.wasSent() && claim.sequence() <= sequence)
                .toList();
        read.forEach(claim -> decideOne(claim, nanos));
    }

    private void decideOne(PendingClaim claim, long nanos) {
        Optional<Claim> inForce = table.find(claim.key());
        if (claim.isSubmission() && inForce.filter(this::isRetained).isEmpty()) {
            // The record lost to an abandoned claim that is released already, or that this process is about to release.
            // It is sent again after the release, so that it can win.
            claim.resetForResend();
            commit.add(claim.content());
            return;
        }
        pendingClaims.remove(claim.content());
        Optional<Claim> own = ownClaimOf(claim.content());
        if (own.isPresent() && !isRetained(own.get())) {
            // An equivalent, abandoned takeover of this process precedes this one and won. Its release leaves the claim
            // without a coordinator; if this one were reported as won, the process would continue the job nevertheless.
            decide(claim, unavailable("an earlier takeover of this process was given up"), nanos);
            return;
        }
        if (own.isPresent()) {
            decide(claim, new ClaimDecision.Won(own.get()), nanos);
            return;
        }
        ClaimDecision decision = inForce.map(
                        other -> decideAgainst(other, claim.bodyDigest().orElse(other.bodyDigest())))
                .orElseGet(() -> unavailable("the claim is no longer in force"));
        decide(claim, decision, nanos);
    }

    private void resolveMemoryClaim(ClaimRecord.Claimed claimed) {
        if (memoryClaims.removeReleased(claimed.job())) {
            release(claimed);
            return;
        }
        Optional<Claim> inForce = table.find(claimed.key());
        if (inForce.isPresent() && !inForce.get().job().equals(claimed.job())) {
            write(ClaimLines.of("memory-claim-lost", claimed.key(), claimed.job())
                    .with("goesOn", true)
                    .with("inForce", inForce.get().job())
                    .with("by", inForce.get().coordinator().processId()));
        }
    }

    private void abandonTimedOut(long nanos) {
        long timeout = settings.claimTimeout().toNanos();
        Iterator<PendingClaim> oldest = pendingClaims.values().iterator();
        while (oldest.hasNext()) {
            PendingClaim claim = oldest.next();
            if (nanos - claim.requestedNanos() < timeout) {
                return;
            }
            oldest.remove();
            abandon(claim, nanos);
        }
    }

    private void abandon(PendingClaim claim, long nanos) {
        commit.withdraw(claim.content());
        ClaimDecision decision = claim.memoryFallback()
                .map(this::claimInMemory)
                .orElseGet(() -> unavailable("no answer of the log in time"));
        boolean wonInMemory = decision instanceof ClaimDecision.Won;
        if (claim.wasSent() && !wonInMemory) {
            abandonedSequences.put(claim.content(), claim.sequence());
        }
        decide(claim, decision, nanos);
    }

    private void renew(long nanos) {
        leaseManager.pollRenewal(nanos).ifPresent(renewed -> {
            // An earlier, unconfirmed renewal would be measured from its first send; the new one ends later.
            commit.withdraw(renewed);
            commit.addUrgent(renewed);
        });
    }

    private void recordSending(GroupCommit.Outgoing outgoing, long nanos) {
        ClaimRecord content = outgoing.content();
        if (content instanceof ClaimRecord.Renewed) {
            leaseManager.recordSending(outgoing.sequence(), nanos);
        }
        if (content instanceof ClaimRecord.Claimed claimed) {
            memoryClaims.recordSequence(claimed, outgoing.sequence());
        }
        PendingClaim claim = pendingClaims.get(content);
        if (claim != null) {
            claim.markSent(outgoing.sequence());
        }
    }

    private void detectLeaseChange(long nanos) {
        leaseManager.pollChange(nanos).ifPresent(held -> {
            effects.add(new ClaimEffect.NotifyLeaseChanged(held));
            write(EventLine.of(held ? "lease-gained" : "lease-lost")
                    .with("process", self.processId())
                    .with("incarnation", self.incarnation()));
        });
    }

    private void confirmDeparture() {
        if (leaseManager.confirmDeparture()) {
            effects.add(new ClaimEffect.ConfirmDeparture());
        }
    }

    private void decide(PendingClaim claim, ClaimDecision decision, long nanos) {
        long waitedNanos = nanos - claim.requestedNanos();
        decide(claim.key(), claim.reply(), decision, waitedNanos);
        ClaimDecision followed =
                decision instanceof ClaimDecision.Won won ? new ClaimDecision.Attached(won.claim()) : decision;
        claim.followers().forEach(reply -> decide(claim.key(), reply, followed, waitedNanos));
    }

    private void decide(SubmissionKey key, CompletableFuture<ClaimDecision> reply, ClaimDecision decision) {
        decide(key, reply, decision, 0);
    }

    private void decide(
            SubmissionKey key, CompletableFuture<ClaimDecision> reply, ClaimDecision decision, long waitedNanos) {
        effects.add(new ClaimEffect.Decide(reply, decision, waitedNanos));
        write(ClaimLines.of(key, decision));
    }

    private static ClaimDecision unavailable(String reason) {
        return new ClaimDecision.LogUnavailable(reason);
    }

    private void write(EventLine line) {
        effects.add(new ClaimEffect.WriteLine(line));
    }
}
