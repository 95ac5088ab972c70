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
    private static final int MAXIMUM = 100_000;
    private static final long UNSENT = 0;

    private final MemoryClaims memory;
    private final Map<ClaimRecord.Claimed, Long> sequences = new LinkedHashMap<>();
    private final Set<JobId> released = new HashSet<>();

    /** Creates an empty set; claims count for the window, by the clock. */
    PendingMemoryClaims(Coordinator self, Duration window, NanoClock clock) {
        this.memory = new MemoryClaims(self, window, clock);
    }

    /** Decides a claim in memory; one that is won is to be appended. */
    ClaimDecision decide(ClaimRecord.Claimed claimed) {
        if (sequences.size() >= MAXIMUM) {
            return new ClaimDecision.LogUnavailable("too many claims in memory wait for the log");
        }
        ClaimDecision decision = memory.decide(claimed.key(), claimed.bodyDigest(), claimed.job());
        if (decision instanceof ClaimDecision.Won) {
            sequences.put(claimed, UNSENT);
        }
        return decision;
    }

    /** Frees the key of a claim at once; its record, which may be under way, is to be given up once it is read. */
    void release(JobId job) {
        if (memory.lookUp(job).isPresent()) {
            memory.forget(job);
            released.add(job);
        }
    }

    /** Tells whether a claim that has landed was given up before, and forgets that. */
    boolean takeReleased(JobId job) {
        return released.remove(job);
    }

    /** Notes the count with which a claim is first sent. */
    void sentAs(ClaimRecord.Claimed claimed, long sequence) {
        sequences.replace(claimed, UNSENT, sequence);
    }

    /** Drops and returns the claims whose records have been read, as the log decides about their keys from now on. */
    List<ClaimRecord.Claimed> takeLanded(long readSequence) {
        List<ClaimRecord.Claimed> landed = new ArrayList<>();
        Iterator<Map.Entry<ClaimRecord.Claimed, Long>> oldest =
                sequences.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<ClaimRecord.Claimed, Long> entry = oldest.next();
            if (entry.getValue() == UNSENT || entry.getValue() > readSequence) {
                return landed;
            }
            oldest.remove();
            memory.forget(entry.getKey().job());
            landed.add(entry.getKey());
        }
        return landed;
    }

    /** Returns the claim in force for a key. */
    Optional<Claim> find(SubmissionKey key) {
        return memory.lookUp(key);
    }

    /** Returns the claim in force for a job. */
    Optional<Claim> find(JobId job) {
        return memory.lookUp(job);
    }
}
