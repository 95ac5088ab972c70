package org.chivetally.claim;

import java.time.Duration;
import java.util.Objects;
import java.util.regex.Pattern;
import org.chivetally.job.JobId;

/** A record of the claims stream. */
public sealed interface ClaimRecord {
    /**
     * Claims a key for a submission; the first such record of a key in the log wins.
     *
     * @param key the team's idempotency key
     * @param bodyDigest SHA-256 of the submission's content, 64 lower case hexadecimal digits
     * @param job id of the submitted job
     * @param coordinator process that wrote the record
     * @param window how long the key stays claimed, in stream time
     */
    record Claimed(SubmissionKey key, String bodyDigest, JobId job, Coordinator coordinator, Duration window)
            implements ClaimRecord {
        private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");

        /** Rejects null components, digests other than SHA-256 in lower case hexadecimal, and windows below 1 ms. */
        public Claimed {
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(job, "job");
            Objects.requireNonNull(coordinator, "coordinator");
            if (!DIGEST.matcher(bodyDigest).matches()) {
                throw new IllegalArgumentException("bodyDigest must be 64 lower case hexadecimal digits");
            }
            if (window.toMillis() < 1) {
                throw new IllegalArgumentException("window must be at least 1 ms");
            }
        }
    }

    /**
     * Makes another process the coordinator of a job whose coordinator's lease has lapsed.
     *
     * <p>The record may be written long after it was sent, and its sender may not have read the coordinator's latest
     * renewal. If it won then, it would take the job from a process that holds its lease. It therefore carries the
     * offset of the last renewal that its sender had read, and loses if a later renewal precedes it in the log.
     *
     * @param key the team's idempotency key
     * @param job the job to take over
     * @param coordinator the new coordinator, which wrote the record
     * @param generation one more than that of the claim in force
     * @param lastRenewal offset of the last renewal by the coordinator in force that the sender had read;
     *     {@link #NO_RENEWAL} if it had read none, {@link #UNSPECIFIED} in records of format 1
     */
    record TakenOver(SubmissionKey key, JobId job, Coordinator coordinator, int generation, long lastRenewal)
            implements ClaimRecord {
        /** The sender had read no renewal of the coordinator in force. */
        public static final long NO_RENEWAL = -1;

        /** Value for records of format 1, which carry no renewal offset and are decided by their generation alone. */
        public static final long UNSPECIFIED = Long.MAX_VALUE;

        /** Rejects null components, generations below 2 and negative offsets other than {@link #NO_RENEWAL}. */
        public TakenOver {
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(job, "job");
            Objects.requireNonNull(coordinator, "coordinator");
            if (generation < 2) {
                throw new IllegalArgumentException("generation of a takeover must be at least 2");
            }
            if (lastRenewal < NO_RENEWAL) {
                throw new IllegalArgumentException("lastRenewal must be an offset or NO_RENEWAL");
            }
        }

        /**
         * Returns whether the other takeover is of the same job to the same generation, so that at most one of the two
         * wins.
         */
        boolean competesWith(TakenOver other) {
            return key.equals(other.key) && job.equals(other.job) && generation == other.generation;
        }

        /** Returns whether the record carries a renewal offset or {@link #NO_RENEWAL}. */
        boolean specifiesRenewal() {
            return lastRenewal != UNSPECIFIED;
        }
    }

    /**
     * Renews a process's lease.
     *
     * @param coordinator holder of the lease
     * @param lease duration of the lease according to its holder's settings
     */
    record Renewed(Coordinator coordinator, Duration lease) implements ClaimRecord {
        /** Rejects null components and leases below 1 ms. */
        public Renewed {
            Objects.requireNonNull(coordinator, "coordinator");
            if (lease.toMillis() < 1) {
                throw new IllegalArgumentException("lease must be at least 1 ms");
            }
        }
    }

    /** Ends a process's lease permanently. */
    record Departed(Coordinator coordinator) implements ClaimRecord {
        /** Rejects null components. */
        public Departed {
            Objects.requireNonNull(coordinator, "coordinator");
        }
    }

    /** Records that a job has its final outcome. */
    record Finished(SubmissionKey key, JobId job) implements ClaimRecord {
        /** Rejects null components. */
        public Finished {
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(job, "job");
        }
    }

    /**
     * Releases a claim or takeover for which its process has started nothing and will start nothing. The process either
     * abandoned the claim before reading that it had won, or refused the job afterwards.
     *
     * <p>The caller was answered that nothing has run, and that must stay true even if the claim is later read as the
     * winner. Only the process named in a claim may start tasks of its generation, and it writes this record only if it
     * has started none. If a takeover precedes this record, the generation no longer matches and the record changes
     * nothing; a takeover that follows it finds no claim. A late duplicate of the claim is dropped by its record id.
     * Releasing the key therefore has the same effect as if the claim had never been written.
     *
     * <p>Releasing a takeover does not free the key, as the previous coordinator may have started tasks. The claim
     * stays in force with {@link Coordinator#NONE}, whose lease has always lapsed, and the next process that takes it
     * over inquires at the agents first.
     */
    record Released(SubmissionKey key, JobId job, Coordinator coordinator, int generation) implements ClaimRecord {
        /** Rejects null components and generations below 1. */
        public Released {
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(job, "job");
            Objects.requireNonNull(coordinator, "coordinator");
            if (generation < 1) {
                throw new IllegalArgumentException("generation must be at least 1");
            }
        }
    }
}
