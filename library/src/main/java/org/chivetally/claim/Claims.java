package org.chivetally.claim;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.chivetally.job.JobId;
import org.chivetally.job.ServicePolicy;

/** The claims of submissions, as seen by one process. Returned stages never complete exceptionally. */
public interface Claims {
    /**
     * Claims a key for a job of this process. Completes when the order of claims in the log is known, or the claim has
     * timed out.
     *
     * @param bodyDigest SHA-256 of the submission's content, 64 lower case hexadecimal digits
     */
    CompletionStage<ClaimDecision> claim(SubmissionKey key, String bodyDigest, JobId job);

    /**
     * Claims a key for a job of this process in the mode that the job's service declares.
     *
     * <p>With {@link ServicePolicy.ClaimMode#MEMORY} a claim is not refused while the log is unavailable: it is decided
     * immediately in this process's memory, and its record is appended when the log is available again. If another
     * process's claim of the key precedes that record, both jobs continue.
     */
    default CompletionStage<ClaimDecision> claim(
            SubmissionKey key, String bodyDigest, JobId job, ServicePolicy.ClaimMode mode) {
        return claim(key, bodyDigest, job);
    }

    /** Takes a claim over from a coordinator whose lease has lapsed. */
    CompletionStage<ClaimDecision> takeOver(Claim current);

    /** Returns the claim in force for a job, as far as this process has read the log. */
    CompletionStage<Optional<Claim>> find(JobId job);

    /** Returns the claim in force for a key, as far as this process has read the log. */
    CompletionStage<Optional<Claim>> find(SubmissionKey key);

    /**
     * Returns a monotonic clock reading, in nanoseconds, after which a job was claimed in the log by any process. Empty
     * if none is known, for example for claims that were in the log before this process first read it.
     */
    default CompletionStage<OptionalLong> claimedAfter(JobId job) {
        return CompletableFuture.completedFuture(OptionalLong.empty());
    }

    /** Records that a job has its final outcome; the record is sent with a later append. */
    void markFinished(Claim claim);

    /**
     * Releases a claim of this process with a later append; then its key can be claimed again.
     *
     * <p>Allowed only for a job of which nothing was started, and of which this process will start nothing.
     */
    default void release(Claim claim) {}

    /** Returns whether this process holds its lease, so that it may start tasks. Thread-safe. */
    boolean holdsLease();

    /** Returns whether another coordinator's lease has certainly lapsed. Thread-safe. */
    boolean hasLapsed(Coordinator coordinator);

    /** Returns whether this process has read the log to its end at least once. Thread-safe. */
    boolean caughtUp();

    /**
     * Returns the monotonic clock reading, in nanoseconds, up to which all records in the log have been read. Empty
     * until the log has been read to its end for the first time. Thread-safe.
     */
    default OptionalLong readToEndAt() {
        return OptionalLong.empty();
    }

    /** Ends this process's lease in the log; completes when the record has been read back or has timed out. */
    CompletionStage<Void> depart();

    /** Adds a listener that is called, on a thread of the claims, whenever this process gains or loses its lease. */
    default void onLeaseChange(Consumer<Boolean> listener) {}

    /**
     * Adds a listener that is called, on a thread of the claims, when another process has taken over a job of this one.
     *
     * <p>Calls to this listener and to that of {@link #onLeaseExtended} follow the order of the log: a takeover that
     * precedes a renewal is reported before the renewal.
     */
    default void onReplaced(Consumer<Claim> listener) {}

    /**
     * Adds a listener that is called, on a thread of the claims, with the monotonic clock reading in nanoseconds until
     * which the lease is held: immediately if it is held, and whenever it is renewed. {@link #holdsLease} may return
     * false earlier.
     */
    default void onLeaseExtended(LongConsumer listener) {}
}
