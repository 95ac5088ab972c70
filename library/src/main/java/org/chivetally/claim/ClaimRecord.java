package org.chivetally.claim;

import java.time.Duration;
import java.util.Objects;
import java.util.regex.Pattern;
import org.chivetally.job.JobId;

/** What a process writes to the claims stream. */
public sealed interface ClaimRecord {
    /**
     * A submission claims its key; the first one of a key counts.
     *
     * @param bodyDigest SHA-256 of the submission's content, 64 lower case hexadecimal digits
     * @param window how long the key stays taken
     */
    record Claimed(SubmissionKey key, String bodyDigest, JobId job, Coordinator coordinator, Duration window)
            implements ClaimRecord {
        private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");

        /** Refuses missing parts, other digests than SHA-256 in lower case hexadecimal, and windows of no length. */
        public Claimed {
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(job, "job");
            Objects.requireNonNull(coordinator, "coordinator");
            if (!DIGEST.matcher(bodyDigest).matches()) {
                throw new IllegalArgumentException("a body digest has 64 lower case hexadecimal digits");
            }
            if (window.toMillis() < 1) {
                throw new IllegalArgumentException("a window lasts at least a millisecond");
            }
        }
    }

    /**
     * Another process wants to coordinate a job whose coordinator's lease has lapsed.
     *
     * <p>It may land long after it was sent, and its coordinator-to-be may not have read the newest renewal. Won then,
     * it would take a job from a process that holds its lease. It therefore names the last renewal that its sender had
     * read, and loses to every later one that stands before it.
     *
     * @param generation one more than that of the claim in force
     * @param lastRenewal offset of the last renewal by the coordinator in force that the sender had read;
     *     {@link #NO_RENEWAL} when there was none, {@link #UNSPECIFIED} in records of the first format
     */
    record TakenOver(SubmissionKey key, JobId job, Coordinator coordinator, int generation, long lastRenewal)
            implements ClaimRecord {
        /** Stands for no renewal at all. */
        public static final long NO_RENEWAL = -1;

        /** Stands in records that name none, and that are judged by their generation alone, as they always were. */
        public static final long UNSPECIFIED = Long.MAX_VALUE;

        /** Refuses missing parts, generations that no takeover has, and offsets that no record has. */
        public TakenOver {
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(job, "job");
            Objects.requireNonNull(coordinator, "coordinator");
            if (generation < 2) {
                throw new IllegalArgumentException("takeovers begin at generation 2");
            }
            if (lastRenewal < NO_RENEWAL) {
                throw new IllegalArgumentException("offsets begin at 0");
            }
        }

        /**
         * Tells whether another takeover is of the same job to the same generation, so that one of them at most wins.
         */
        boolean competesWith(TakenOver other) {
            return key.equals(other.key) && job.equals(other.job) && generation == other.generation;
        }

        /** Tells whether the record names a renewal, or that there was none. */
        boolean specifiesRenewal() {
            return lastRenewal != UNSPECIFIED;
        }
    }

    /**
     * A process holds its lease.
     *
     * @param lease length of the lease by the settings of its holder
     */
    record Renewed(Coordinator coordinator, Duration lease) implements ClaimRecord {
        /** Refuses missing parts and leases of no length. */
        public Renewed {
            Objects.requireNonNull(coordinator, "coordinator");
            if (lease.toMillis() < 1) {
                throw new IllegalArgumentException("a lease lasts at least a millisecond");
            }
        }
    }

    /** A process gives its lease up for good. */
    record Departed(Coordinator coordinator) implements ClaimRecord {
        /** Refuses missing parts. */
        public Departed {
            Objects.requireNonNull(coordinator, "coordinator");
        }
    }

    /** A job reached its final outcome. */
    record Finished(SubmissionKey key, JobId job) implements ClaimRecord {
        /** Refuses missing parts. */
        public Finished {
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(job, "job");
        }
    }

    /**
     * A process gave up on its claim or takeover before it knew that it had won, and will never act on it.
     *
     * <p>The caller was told that nothing ran, and that must stay true though the claim turned up in the log as the
     * winner. It does: only the process that the claim names may start tasks of that generation, and it writes this
     * record only for a claim that it never reported as won. A takeover that came before this record has a higher
     * generation, so the record doesn't match and changes nothing; one that comes after it finds no claim. A late
     * repeat of the claim is dropped by its record id. Freeing the key is therefore the same as if the claim had never
     * been written.
     *
     * <p>A takeover that is given up can't free the key, as the coordinator before it may have started tasks: the claim
     * stays, of {@link Coordinator#NONE}, whose lease has always lapsed, and the next takeover inquires first.
     */
    record Released(SubmissionKey key, JobId job, Coordinator coordinator, int generation) implements ClaimRecord {
        /** Refuses missing parts and generations below one. */
        public Released {
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(job, "job");
            Objects.requireNonNull(coordinator, "coordinator");
            if (generation < 1) {
                throw new IllegalArgumentException("generations begin at 1");
            }
        }
    }
}
