package org.chivetally.claim;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.chivetally.job.JobId;

/**
 * The claims in force after a prefix of the claims stream; a pure function of that prefix.
 *
 * <p>The table may hold several 100,000 claims, so each is stored as one {@link CompactClaim} that both indexes share.
 */
final class ClaimTable {
    /**
     * How long the sequence number of an inactive writer is kept, in stream time; far longer than any append is
     * delayed.
     */
    private static final long WRITER_RETENTION_MILLIS = TimeUnit.HOURS.toMillis(24);

    private final Map<SubmissionKey, CompactClaim> byKey = new LinkedHashMap<>();
    private final Map<JobId, CompactClaim> byJob = new HashMap<>();
    private final Map<String, TableImage.Writer> writers = new HashMap<>();
    private final Interner<Coordinator> coordinators = new Interner<>();
    private final Interner<String> teams = new Interner<>();
    private long nextOffset;
    private long streamMillis;

    /** Returns a table with the content of a snapshot. */
    static ClaimTable of(TableImage image) {
        ClaimTable table = new ClaimTable();
        table.nextOffset = image.nextOffset();
        table.streamMillis = image.streamMillis();
        image.writers().forEach(writer -> table.writers.put(writer.name(), writer));
        for (CompactClaim stored : image.claims()) {
            table.put(table.intern(stored));
        }
        return table;
    }

    /** Returns the current content, in the same order for all readers. */
    TableImage image() {
        List<TableImage.Writer> sortedWriters = new ArrayList<>(writers.values());
        sortedWriters.sort(Comparator.comparing(TableImage.Writer::name));
        List<CompactClaim> claims =
                byKey.values().stream().filter(this::isInForce).toList();
        return new TableImage(nextOffset, streamMillis, sortedWriters, claims);
    }

    /**
     * Applies the stream's next record. Records before {@link #nextOffset} have been applied already and change
     * nothing.
     *
     * @param offset offset of the record in the stream
     */
    FoldResult fold(long offset, RecordId id, TimestampedRecord timestamped) {
        if (offset < nextOffset) {
            return new FoldResult.Unchanged();
        }
        nextOffset = offset + 1;
        if (!isNew(id)) {
            return new FoldResult.Unchanged();
        }
        streamMillis = Math.max(streamMillis, timestamped.streamMillis());
        updateWriter(id, offset, timestamped.content());
        removeEnded();
        return switch (timestamped.content()) {
            case ClaimRecord.Claimed claimed -> foldClaimed(claimed, offset);
            case ClaimRecord.TakenOver taken -> foldTakenOver(taken);
            case ClaimRecord.Renewed renewed ->
                new FoldResult.Renewed(renewed.coordinator(), renewed.lease(), id.sequence());
            case ClaimRecord.Departed departed -> new FoldResult.Departed(departed.coordinator());
            case ClaimRecord.Finished finished -> foldFinished(finished, id.writer());
            case ClaimRecord.Released released -> foldReleased(released);
        };
    }

    /**
     * Advances to an offset without applying the records before it, because they can't be decoded or have expired in
     * the log.
     */
    void skipTo(long offset) {
        nextOffset = Math.max(nextOffset, offset);
    }

    /** Returns the claim in force for a key. */
    Optional<Claim> find(SubmissionKey key) {
        return Optional.ofNullable(inForce(key)).map(CompactClaim::toClaim);
    }

    /** Returns the claim in force for a job. */
    Optional<Claim> find(JobId job) {
        return Optional.ofNullable(byJob.get(job)).filter(this::isInForce).map(CompactClaim::toClaim);
    }

    /** Returns the offset of the record that claimed a job's key; empty if no claim of the job is in force. */
    OptionalLong offsetOf(JobId job) {
        CompactClaim stored = byJob.get(job);
        return stored == null || !isInForce(stored) ? OptionalLong.empty() : OptionalLong.of(stored.offset());
    }

    /** Returns the offset of the next record to apply. */
    long nextOffset() {
        return nextOffset;
    }

    /** Returns the stream time in milliseconds. */
    long streamMillis() {
        return streamMillis;
    }

    /** Returns the sequence number of a writer's last applied record, 0 if there is none. */
    long sequenceOf(String writer) {
        TableImage.Writer state = writers.get(writer);
        return state == null ? 0 : state.sequence();
    }

    /**
     * Returns the offset of a coordinator's last applied renewal, {@link ClaimRecord.TakenOver#NO_RENEWAL} if there is
     * none.
     */
    long lastRenewalOf(Coordinator coordinator) {
        return lastRenewalOf(RecordId.writerOf(coordinator));
    }

    /** Returns the number of claims in the table. */
    int size() {
        return byKey.size();
    }

    /**
     * Returns whether a record is not a duplicate; at the first record of a writer, removes inactive writers.
     *
     * <p>An append whose answer was lost is repeated, and the original may still be written later, so a record may
     * appear twice. Applied twice, it could claim a key again that was released in between, for a job that no process
     * works on.
     */
    private boolean isNew(RecordId id) {
        TableImage.Writer state = writers.get(id.writer());
        if (state == null) {
            writers.values().removeIf(writer -> writer.lastMillis() + WRITER_RETENTION_MILLIS < streamMillis);
            return true;
        }
        return id.sequence() > state.sequence();
    }

    private void updateWriter(RecordId id, long offset, ClaimRecord content) {
        long renewal = content instanceof ClaimRecord.Renewed ? offset : lastRenewalOf(id.writer());
        writers.put(id.writer(), new TableImage.Writer(id.writer(), id.sequence(), streamMillis, renewal));
    }

    private long lastRenewalOf(String writer) {
        TableImage.Writer state = writers.get(writer);
        return state == null ? ClaimRecord.TakenOver.NO_RENEWAL : state.lastRenewal();
    }

    private FoldResult foldClaimed(ClaimRecord.Claimed claimed, long offset) {
        if (inForce(claimed.key()) != null) {
            return new FoldResult.Unchanged();
        }
        Claim claim = new Claim(
                claimed.key(),
                claimed.bodyDigest(),
                claimed.job(),
                claimed.coordinator(),
                Claim.FIRST_GENERATION,
                false);
        remove(byKey.get(claimed.key()));
        put(intern(CompactClaim.of(claim, streamMillis + claimed.window().toMillis(), offset)));
        return new FoldResult.Won(claim);
    }

    private FoldResult foldTakenOver(ClaimRecord.TakenOver taken) {
        CompactClaim stored = inForce(taken.key());
        if (stored == null || !stored.job().equals(taken.job()) || stored.generation() + 1 != taken.generation()) {
            return new FoldResult.Unchanged();
        }
        if (lastRenewalOf(stored.coordinator()) > taken.lastRenewal()) {
            return new FoldResult.Unchanged();
        }
        CompactClaim successor = stored.withCoordinator(coordinators.intern(taken.coordinator()), taken.generation());
        put(successor);
        return new FoldResult.TakenOver(successor.toClaim(), stored.coordinator());
    }

    /**
     * A coordinator that was replaced may record an outcome of its own; only that of the coordinator in force counts.
     */
    private FoldResult foldFinished(ClaimRecord.Finished finished, String writer) {
        CompactClaim stored = inForce(finished.key());
        if (stored == null
                || !stored.job().equals(finished.job())
                || !RecordId.writerOf(stored.coordinator()).equals(writer)
                || stored.finished()) {
            return new FoldResult.Unchanged();
        }
        CompactClaim marked = stored.asFinished();
        put(marked);
        return new FoldResult.Finished(marked.toClaim());
    }

    private FoldResult foldReleased(ClaimRecord.Released released) {
        CompactClaim stored = inForce(released.key());
        if (stored == null
                || !stored.job().equals(released.job())
                || !stored.coordinator().equals(released.coordinator())
                || stored.generation() != released.generation()) {
            return new FoldResult.Unchanged();
        }
        if (stored.generation() == Claim.FIRST_GENERATION) {
            remove(stored);
        } else {
            put(stored.withCoordinator(Coordinator.NONE, stored.generation()));
        }
        return new FoldResult.Released(stored.toClaim());
    }

    private CompactClaim inForce(SubmissionKey key) {
        CompactClaim stored = byKey.get(key);
        return stored != null && isInForce(stored) ? stored : null;
    }

    private boolean isInForce(CompactClaim stored) {
        return stored.endMillis() > streamMillis;
    }

    private void put(CompactClaim stored) {
        byKey.put(stored.key(), stored);
        byJob.put(stored.job(), stored);
    }

    private CompactClaim intern(CompactClaim stored) {
        return stored.withShared(teams.intern(stored.key().team()), coordinators.intern(stored.coordinator()));
    }

    private void remove(CompactClaim stored) {
        if (stored == null) {
            return;
        }
        byKey.remove(stored.key());
        byJob.remove(stored.job(), stored);
    }

    /** Removes claims whose window has ended; stops at the first one in force, as claims are ordered by age. */
    private void removeEnded() {
        Iterator<CompactClaim> oldest = byKey.values().iterator();
        while (oldest.hasNext()) {
            CompactClaim stored = oldest.next();
            if (isInForce(stored)) {
                return;
            }
            oldest.remove();
            byJob.remove(stored.job(), stored);
        }
    }
}
