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
 * The claims of one process: what it decides from the stream, and what it writes there.
 *
 * <p>Free of threads, timers and the log itself; its shell hands in what happens with the reading of the clock, then
 * takes the effects and the next append.
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
     * Creates the claims of a process that has read nothing yet.
     *
     * @param clock read only by claims that are made in memory
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

    /** Claims a key; the reply comes as an effect, now or later. */
    void claim(ClaimRecord.Claimed claimed, ClaimMode mode, CompletableFuture<ClaimDecision> reply, long nanos) {
        Optional<ClaimDecision> known = decideFromTable(claimed);
        if (known.isPresent()) {
            decide(claimed.key(), reply, known.get());
            return;
        }
        if (mode == ClaimMode.MEMORY && logHealth.isDown()) {
            decide(claimed.key(), reply, claimInMemory(claimed));
            return;
        }
        Optional<String> obstacle = mode == ClaimMode.MEMORY ? departureReason() : refusalReason();
        if (obstacle.isPresent()) {
            decide(claimed.key(), reply, unavailable(obstacle.get()));
            return;
        }
        enqueue(new PendingClaim(claimed, mode, reply, nanos));
    }

    /** Takes a job over from a coordinator whose lease has lapsed; the reply comes as an effect, now or later. */
    void takeOver(Claim current, CompletableFuture<ClaimDecision> reply, long nanos) {
        Optional<Claim> inForce = table.find(current.key());
        if (inForce.isEmpty()) {
            decide(current.key(), reply, unavailable("the claim is no longer in force"));
            return;
        }
        Claim claim = inForce.get();
        boolean same = claim.job().equals(current.job()) && claim.generation() == current.generation();
        if (!same || claim.coordinator().equals(self) || !leases.hasLapsed(claim.coordinator(), nanos)) {
            decide(current.key(), reply, new ClaimDecision.Attached(claim));
            return;
        }
        Optional<String> obstacle = refusalReason();
        if (obstacle.isPresent()) {
            decide(current.key(), reply, unavailable(obstacle.get()));
            return;
        }
        long lastRenewal = table.lastRenewalOf(claim.coordinator());
        ClaimRecord.TakenOver taken =
                new ClaimRecord.TakenOver(claim.key(), claim.job(), self, claim.generation() + 1, lastRenewal);
        enqueue(new PendingClaim(taken, ClaimMode.LOG, reply, nanos));
    }

    /** Notes that a job has its final outcome. */
    void markFinished(Claim claim) {
        commit.addLazy(new ClaimRecord.Finished(claim.key(), claim.job()));
    }

    /** Gives the lease up: this process starts nothing from now on, and others may take its jobs over at once. */
    void depart(long nanos) {
        if (leaseManager.isDeparting()) {
            return;
        }
        abandonAll(nanos);
        commit.addUrgent(new ClaimRecord.Departed(self));
        detectLeaseChange(nanos);
    }

    /**
     * Takes in what a read returned.
     *
     * @param endOffset end of the stream when it was read
     * @param sentNanos reading of the clock before the read was sent
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

    /** Learns that a read failed. */
    void readFailed(String reason) {
        if (logHealth.readFailed()) {
            write(EventLine.of("claims-log-unreadable").with("reason", reason));
        }
    }

    /** Learns the outcome of an append. */
    void appendCompleted(long number, AppendOutcome outcome, long nanos) {
        if (!commit.appendCompleted(number, outcome, nanos)) {
            return;
        }
        logHealth.appended(outcome);
        ClaimLines.of(outcome).ifPresent(this::write);
    }

    /** Replaces the table by a snapshot's, unless the table is further. */
    void restore(TableImage image, long nanos) {
        if (image.nextOffset() <= table.nextOffset()) {
            return;
        }
        table = ClaimTable.of(image);
        image.claims().forEach(held -> leases.track(held.coordinator(), nanos));
        streamTime.advanceTo(table.streamMillis(), nanos);
        resolveReadRecords(nanos);
    }

    /** Passes over records that the log no longer keeps; their windows are over, as no window is longer than that. */
    void skipTo(long offset) {
        write(EventLine.of("claims-expired").with("from", table.nextOffset()).with("to", offset));
        table.skipTo(offset);
    }

    /** Refuses whatever waits, as this process stops. */
    void abandonAll(long nanos) {
        leaseManager.depart(nanos);
        List.copyOf(pendingClaims.values()).forEach(claim -> abandon(claim, nanos));
        pendingClaims.clear();
    }

    /** Lets time pass: gives up what waits too long, renews the lease, notices its loss. */
    void tick(long nanos) {
        abandonTimedOut(nanos);
        renew(nanos);
        detectLeaseChange(nanos);
        if (leaseManager.isDepartureOverdue(nanos)) {
            confirmDeparture();
        }
    }

    /** Returns the next append, if one may be sent now; {@code nanos} must be read before it is sent. */
    Optional<GroupCommit.Batch> nextAppend(long nanos) {
        Optional<GroupCommit.Batch> batch = commit.poll(nanos, streamTime.estimate(nanos));
        batch.ifPresent(sent -> sent.records().forEach(outgoing -> recordSending(outgoing, nanos)));
        return batch;
    }

    /** Returns the effects since the last call, in order. */
    List<ClaimEffect> drainEffects() {
        List<ClaimEffect> taken = effects;
        effects = new ArrayList<>();
        return taken;
    }

    /** Returns the claim in force for a key. */
    Optional<Claim> find(SubmissionKey key) {
        return table.find(key).or(() -> memoryClaims.find(key));
    }

    /** Returns the claim in force for a job. */
    Optional<Claim> find(JobId job) {
        return table.find(job).or(() -> memoryClaims.find(job));
    }

    /** Returns a reading of the clock after which a job was claimed in the log; empty when none is known. */
    OptionalLong claimedAfter(JobId job) {
        OptionalLong offset = table.offsetOf(job);
        return offset.isPresent() ? readTimeline.writtenAfter(offset.getAsLong()) : OptionalLong.empty();
    }

    /** Returns the table's content, for a snapshot. */
    TableImage image() {
        return table.image();
    }

    /** Returns how many claims stand in the table. */
    int tableSize() {
        return table.size();
    }

    /** Returns the offset to read from. */
    long nextOffset() {
        return table.nextOffset();
    }

    /** Returns the stream's time in milliseconds. */
    long streamMillis() {
        return table.streamMillis();
    }

    /** Tells whether there is nothing to hurry for: the log may hold a read back until there is a record. */
    boolean mayLongPoll() {
        return caughtUp && logHealth.isReadable();
    }

    /** Tells whether the log was read to its end at least once. */
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

    private Optional<ClaimDecision> decideFromTable(ClaimRecord.Claimed claimed) {
        return find(claimed.key())
                .filter(this::isRetained)
                .map(inForce -> decideAgainst(inForce, claimed.bodyDigest()));
    }

    /** Tells whether a claim is not one that this process gave up and is about to release. */
    private boolean isRetained(Claim claim) {
        return !releasingJobs.contains(claim.job());
    }

    private static ClaimDecision decideAgainst(Claim inForce, String bodyDigest) {
        return inForce.bodyDigest().equals(bodyDigest)
                ? new ClaimDecision.Attached(inForce)
                : new ClaimDecision.KeyReused(inForce);
    }

    private void enqueue(PendingClaim claim) {
        Optional<PendingClaim> same = findEquivalent(claim.content());
        if (same.isPresent()) {
            same.get().addFollower(claim.reply());
            return;
        }
        if (commit.offer(claim.content())) {
            pendingClaims.put(claim.content(), claim);
            return;
        }
        decide(claim.key(), claim.reply(), unavailable("too many claims wait for the log"));
    }

    /** Returns what waits for the same; takeovers to one generation are, though they name other renewals. */
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
                : new DecodedRecord.Skipped("id of another kind");
        switch (decoded) {
            case DecodedRecord.Valid known -> apply(table.fold(logRecord.offset(), id.get(), known.entry()), nanos);
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

    /** Decides what waits for records of this process that have been read, or can't count any more. */
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

    /** Gives a claim of this process up, of which nothing was started. */
    void release(Claim claim) {
        memoryClaims.release(claim.job());
        ownClaim(claim.key(), claim.job(), claim.generation()).ifPresent(this::releaseOwn);
    }

    /** Frees what a given-up record won; see {@link ClaimRecord.Released} for why that is safe. */
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
            // Lost to a claim that was given up, and is released by now or soon: after that the next one wins.
            claim.resetForResend();
            commit.add(claim.content());
            return;
        }
        pendingClaims.remove(claim.content());
        Optional<Claim> own = ownClaimOf(claim.content());
        if (own.isPresent() && !isRetained(own.get())) {
            // An equal takeover stands before this one, and was given up: won here, the job would be left to nobody by
            // the release while this process goes on with it.
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
        boolean goesOn = decision instanceof ClaimDecision.Won;
        if (claim.wasSent() && !goesOn) {
            abandonedSequences.put(claim.content(), claim.sequence());
        }
        decide(claim, decision, nanos);
    }

    private void renew(long nanos) {
        leaseManager.pollRenewal(nanos).ifPresent(renewed -> {
            // One that waits or is in doubt counts from its first sending; the new one lasts longer.
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
