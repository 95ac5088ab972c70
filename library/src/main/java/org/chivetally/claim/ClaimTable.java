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
 * <p>Several 100,000 claims stand in it, so one claim is kept as one {@link CompactClaim} that both indexes share.
 */
final class ClaimTable {
    /** How long a silent writer's count is kept, in the stream's time; far longer than any late repeat takes. */
    private static final long WRITER_RETENTION_MILLIS = TimeUnit.HOURS.toMillis(24);

    private final Map<SubmissionKey, CompactClaim> byKey = new LinkedHashMap<>();
    private final Map<JobId, CompactClaim> byJob = new HashMap<>();
    private final Map<String, TableImage.Writer> writers = new HashMap<>();
    private final Interner<Coordinator> coordinators = new Interner<>();
    private final Interner<String> teams = new Interner<>();
    private long nextOffset;
    private long streamMillis;

    /** Returns a table with the content of an image. */
    static ClaimTable of(TableImage image) {
        ClaimTable table = new ClaimTable();
        table.nextOffset = image.nextOffset();
        table.streamMillis = image.streamMillis();
        image.writers().forEach(writer -> table.writers.put(writer.name(), writer));
        for (CompactClaim held : image.claims()) {
            table.put(table.intern(held));
        }
        return table;
    }

    /** Returns what is in force now, in an order that is the same for all readers. */
    TableImage image() {
        List<TableImage.Writer> sortedWriters = new ArrayList<>(writers.values());
        sortedWriters.sort(Comparator.comparing(TableImage.Writer::name));
        List<CompactClaim> held =
                byKey.values().stream().filter(this::isInForce).toList();
        return new TableImage(nextOffset, streamMillis, sortedWriters, held);
    }

    /** Takes the stream's next record in; one before {@link #nextOffset} was taken in already and changes nothing. */
    FoldResult fold(long offset, RecordId id, TimestampedRecord entry) {
        if (offset < nextOffset) {
            return new FoldResult.Unchanged();
        }
        nextOffset = offset + 1;
        if (!isNew(id)) {
            return new FoldResult.Unchanged();
        }
        streamMillis = Math.max(streamMillis, entry.streamMillis());
        updateWriter(id, offset, entry.content());
        removeEnded();
        return switch (entry.content()) {
            case ClaimRecord.Claimed claimed -> foldClaimed(claimed, offset);
            case ClaimRecord.TakenOver taken -> foldTakenOver(taken);
            case ClaimRecord.Renewed renewed ->
                new FoldResult.Renewed(renewed.coordinator(), renewed.lease(), id.sequence());
            case ClaimRecord.Departed departed -> new FoldResult.Departed(departed.coordinator());
            case ClaimRecord.Finished finished -> foldFinished(finished, id.writer());
            case ClaimRecord.Released released -> foldReleased(released);
        };
    }

    /** Passes over records up to an offset: unreadable ones, or ones that have expired in the log. */
    void skipTo(long offset) {
        nextOffset = Math.max(nextOffset, offset);
    }

    /** Returns the claim in force for a key. */
    Optional<Claim> find(SubmissionKey key) {
        return Optional.ofNullable(inForce(key)).map(CompactClaim::claim);
    }

    /** Returns the claim in force for a job. */
    Optional<Claim> find(JobId job) {
        return Optional.ofNullable(byJob.get(job)).filter(this::isInForce).map(CompactClaim::claim);
    }

    /** Returns the offset of the record that claimed a job's key; empty when no claim of the job is in force. */
    OptionalLong offsetOf(JobId job) {
        CompactClaim held = byJob.get(job);
        return held == null || !isInForce(held) ? OptionalLong.empty() : OptionalLong.of(held.offset());
    }

    /** Returns the offset of the first record not taken in. */
    long nextOffset() {
        return nextOffset;
    }

    /** Returns the stream's time in milliseconds. */
    long streamMillis() {
        return streamMillis;
    }

    /** Returns the count of the newest record taken in of a writer, zero when there is none. */
    long sequenceOf(String writer) {
        TableImage.Writer known = writers.get(writer);
        return known == null ? 0 : known.sequence();
    }

    /**
     * Returns the offset of a coordinator's newest renewal that was taken in, {@link ClaimRecord.TakenOver#NO_RENEWAL}
     * when there is none.
     */
    long lastRenewalOf(Coordinator coordinator) {
        return lastRenewalOf(RecordId.writerOf(coordinator));
    }

    /** Returns how many claims stand in the table. */
    int size() {
        return byKey.size();
    }

    /**
     * Tells whether a record is the first of its id.
     *
     * <p>An append whose answer was lost is repeated, and the first may land late: the record stands twice. Folded
     * twice it could claim a key again that was released in between, and nobody would work on it.
     */
    private boolean isNew(RecordId id) {
        TableImage.Writer known = writers.get(id.writer());
        if (known == null) {
            writers.values().removeIf(writer -> writer.lastMillis() + WRITER_RETENTION_MILLIS < streamMillis);
            return true;
        }
        return id.sequence() > known.sequence();
    }

    private void updateWriter(RecordId id, long offset, ClaimRecord content) {
        long renewal = content instanceof ClaimRecord.Renewed ? offset : lastRenewalOf(id.writer());
        writers.put(id.writer(), new TableImage.Writer(id.writer(), id.sequence(), streamMillis, renewal));
    }

    private long lastRenewalOf(String writer) {
        TableImage.Writer known = writers.get(writer);
        return known == null ? ClaimRecord.TakenOver.NO_RENEWAL : known.lastRenewal();
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
        CompactClaim held = inForce(taken.key());
        if (held == null || !held.job().equals(taken.job()) || held.generation() + 1 != taken.generation()) {
            return new FoldResult.Unchanged();
        }
        if (lastRenewalOf(held.coordinator()) > taken.lastRenewal()) {
            return new FoldResult.Unchanged();
        }
        CompactClaim successor = held.withCoordinator(coordinators.intern(taken.coordinator()), taken.generation());
        put(successor);
        return new FoldResult.TakenOver(successor.claim(), held.coordinator());
    }

    /** A coordinator that lost its job has an outcome of its own for it; the job's is that of its successor. */
    private FoldResult foldFinished(ClaimRecord.Finished finished, String writer) {
        CompactClaim held = inForce(finished.key());
        if (held == null
                || !held.job().equals(finished.job())
                || !RecordId.writerOf(held.coordinator()).equals(writer)
                || held.finished()) {
            return new FoldResult.Unchanged();
        }
        CompactClaim marked = held.asFinished();
        put(marked);
        return new FoldResult.Finished(marked.claim());
    }

    private FoldResult foldReleased(ClaimRecord.Released released) {
        CompactClaim held = inForce(released.key());
        if (held == null
                || !held.job().equals(released.job())
                || !held.coordinator().equals(released.coordinator())
                || held.generation() != released.generation()) {
            return new FoldResult.Unchanged();
        }
        if (held.generation() == Claim.FIRST_GENERATION) {
            remove(held);
        } else {
            put(held.withCoordinator(Coordinator.NONE, held.generation()));
        }
        return new FoldResult.Released(held.claim());
    }

    private CompactClaim inForce(SubmissionKey key) {
        CompactClaim held = byKey.get(key);
        return held != null && isInForce(held) ? held : null;
    }

    private boolean isInForce(CompactClaim held) {
        return held.endMillis() > streamMillis;
    }

    private void put(CompactClaim held) {
        byKey.put(held.key(), held);
        byJob.put(held.job(), held);
    }

    private CompactClaim intern(CompactClaim held) {
        return held.withShared(teams.intern(held.key().team()), coordinators.intern(held.coordinator()));
    }

    private void remove(CompactClaim held) {
        if (held == null) {
            return;
        }
        byKey.remove(held.key());
        byJob.remove(held.job(), held);
    }

    /** Frees the memory of ended claims; oldest first, so that each is looked at once. */
    private void removeEnded() {
        Iterator<CompactClaim> oldest = byKey.values().iterator();
        while (oldest.hasNext()) {
            CompactClaim held = oldest.next();
            if (isInForce(held)) {
                return;
            }
            oldest.remove();
            byJob.remove(held.job(), held);
        }
    }
}
