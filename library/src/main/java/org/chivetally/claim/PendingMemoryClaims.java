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

/** Claims that this process made in its memory while the log was down, until they stand in the log. */
final class PendingMemoryClaims {
    private static final int MAXIMUM_CLAIMS = 100_000;
    private static final long NOT_SENT = 0;

    private final MemoryClaims claims;
    private final Map<ClaimRecord.Claimed, Long> sequences = new LinkedHashMap<>();
    private final Set<JobId> releasedJobs = new HashSet<>();

    /** Creates an empty set; claims count for the window, by the clock. */
    PendingMemoryClaims(Coordinator self, Duration window, NanoClock clock) {
        this.claims = new MemoryClaims(self, window, clock);
    }

    /** Decides a claim in memory; one that is won is to be appended. */
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

    /** Frees the key of a claim at once; its record, which may be under way, is to be given up once it is read. */
    void release(JobId job) {
        if (claims.lookUp(job).isPresent()) {
            claims.remove(job);
            releasedJobs.add(job);
        }
    }

    /** Tells whether a claim that has landed was given up before, and forgets that. */
    boolean removeReleased(JobId job) {
        return releasedJobs.remove(job);
    }

    /** Notes the count with which a claim is first sent. */
    void recordSequence(ClaimRecord.Claimed claimed, long sequence) {
        sequences.replace(claimed, NOT_SENT, sequence);
    }

    /** Drops and returns the claims whose records have been read, as the log decides about their keys from now on. */
    List<ClaimRecord.Claimed> removeWritten(long readSequence) {
        List<ClaimRecord.Claimed> landed = new ArrayList<>();
        Iterator<Map.Entry<ClaimRecord.Claimed, Long>> oldest =
                sequences.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<ClaimRecord.Claimed, Long> entry = oldest.next();
            if (entry.getValue() == NOT_SENT || entry.getValue() > readSequence) {
                return landed;
            }
            oldest.remove();
            claims.remove(entry.getKey().job());
            landed.add(entry.getKey());
        }
        return landed;
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
