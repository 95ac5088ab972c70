package org.chivetally.claim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chivetally.job.JobId;
import org.chivetally.time.NanoClock;

/**
 * Claims that this process decided in memory while the log was unavailable, until their records are read from the log.
 */
final class PendingMemoryClaims {
    private static final int MAXIMUM_CLAIMS = 100_000;
    private static final long NOT_SENT = 0;

    private final MemoryClaims claims;
    private final Map<ClaimRecord.Claimed, Long> sequences = new LinkedHashMap<>();
    private final Set<JobId> releasedJobs = new HashSet<>();

    /**
     * Creates an empty set.
     *
     * @param window how long a key stays claimed, by the monotonic clock
     */
    PendingMemoryClaims(Coordinator self, Duration window, NanoClock clock) {
        this.claims = new MemoryClaims(self, window, clock);
    }

    /** Decides a claim in memory; the caller appends the record of a claim that is won. */
    ClaimDecision decide(ClaimRecord.Claimed claimed) {
        if (sequences.size() >= MAXIMUM_CLAIMS) {
            return new ClaimDecision.LogUnavailable("too many claims in memory wait for the log");
        }
        ClaimDecision decision = claims.decide(claimed.key(), claimed.bodyDigest(), claimed.job());
        if (decision instanceof ClaimDecision.Won) {
            sequences.put(claimed, NOT_SENT);
        }
        return decision;
    }

    /**
     * Frees the key of a claim immediately. Its record may already be in flight, so the claim must be released in the
     * log once it has been read.
     */
    void release(JobId job) {
        if (claims.lookUp(job).isPresent()) {
            claims.remove(job);
            releasedJobs.add(job);
        }
    }

    /** Returns whether a claim whose record was read had been released before, and removes the mark. */
    boolean removeReleased(JobId job) {
        return releasedJobs.remove(job);
    }

    /** Records the sequence number with which a claim is first sent. */
    void recordSequence(ClaimRecord.Claimed claimed, long sequence) {
        sequences.replace(claimed, NOT_SENT, sequence);
    }

    /**
     * Removes and returns the claims whose records have been read; from then on the log decides about their keys.
     *
     * @param readSequence sequence number of this process's last record that was read
     */
    List<ClaimRecord.Claimed> removeWritten(long readSequence) {
        List<ClaimRecord.Claimed> written = new ArrayList<>();
        Iterator<Map.Entry<ClaimRecord.Claimed, Long>> oldest =
                sequences.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<ClaimRecord.Claimed, Long> entry = oldest.next();
            if (entry.getValue() == NOT_SENT || entry.getValue() > readSequence) {
                return written;
            }
            oldest.remove();
            claims.remove(entry.getKey().job());
            written.add(entry.getKey());
        }
        return written;
    }

    /** Returns the claim in force for a key. */
    Optional<Claim> find(SubmissionKey key) {
        return claims.lookUp(key);
    }

    /** Returns the claim in force for a job. */
    Optional<Claim> find(JobId job) {
        return claims.lookUp(job);
    }
}
