package org.chivetally.claim;

import java.util.HexFormat;
import org.chivetally.job.JobId;

/**
 * Memory-saving form of a {@link Claim}: the digest as four longs takes a third of the memory of its text.
 *
 * @param endMillis stream time at which the window ends, in milliseconds
 * @param offset offset of the record that claimed the key
 */
record CompactClaim(
        SubmissionKey key,
        long digest1,
        long digest2,
        long digest3,
        long digest4,
        JobId job,
        Coordinator coordinator,
        int generation,
        boolean finished,
        long endMillis,
        long offset) {
    private static final int DIGITS_PER_PART = 16;

    /** Returns the compact form of a claim. */
    static CompactClaim of(Claim claim, long endMillis, long offset) {
        return new CompactClaim(
                claim.key(),
                digestPart(claim.bodyDigest(), 0),
                digestPart(claim.bodyDigest(), 1),
                digestPart(claim.bodyDigest(), 2),
                digestPart(claim.bodyDigest(), 3),
                claim.job(),
                claim.coordinator(),
                claim.generation(),
                claim.finished(),
                endMillis,
                offset);
    }

    /** Converts this claim to a {@link Claim}. */
    Claim toClaim() {
        return new Claim(key, bodyDigest(), job, coordinator, generation, finished);
    }

    /** Returns this claim with another coordinator and generation. */
    CompactClaim withCoordinator(Coordinator successor, int newGeneration) {
        return new CompactClaim(
                key, digest1, digest2, digest3, digest4, job, successor, newGeneration, finished, endMillis, offset);
    }

    /** Returns this claim with shared instances of its team name and coordinator. */
    CompactClaim withShared(String team, Coordinator sharedCoordinator) {
        SubmissionKey sharedKey = new SubmissionKey(team, key.key());
        return new CompactClaim(
                sharedKey,
                digest1,
                digest2,
                digest3,
                digest4,
                job,
                sharedCoordinator,
                generation,
                finished,
                endMillis,
                offset);
    }

    /** Returns this claim, marked as finished. */
    CompactClaim asFinished() {
        return new CompactClaim(
                key, digest1, digest2, digest3, digest4, job, coordinator, generation, true, endMillis, offset);
    }

    private static long digestPart(String digest, int number) {
        return HexFormat.fromHexDigitsToLong(digest, number * DIGITS_PER_PART, (number + 1) * DIGITS_PER_PART);
    }

    /** Returns the digest as 64 hexadecimal digits. */
    String bodyDigest() {
        HexFormat format = HexFormat.of();
        return format.toHexDigits(digest1)
                + format.toHexDigits(digest2)
                + format.toHexDigits(digest3)
                + format.toHexDigits(digest4);
    }
}
