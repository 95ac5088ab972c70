package org.chivetally.entry.submission;

import java.time.InstantSource;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.chivetally.job.JobId;

/**
 * Makes job ids that sort by the time of their making.
 *
 * <p>An id is 10 letters of wall-clock milliseconds and 16 letters of random bits. Safe from any thread when the
 * generator is.
 */
public final class JobIds implements Supplier<JobId> {
    private static final char[] LETTERS = "0123456789abcdefghjkmnpqrstvwxyz".toCharArray();
    private static final int BITS_PER_LETTER = 5;
    private static final int TIME_LETTERS = 10;
    private static final int RANDOM_LETTERS = 8;

    private final InstantSource time;
    private final RandomGenerator random;

    /** Creates a maker; the generator must be one whose values nobody else draws. */
    public JobIds(InstantSource time, RandomGenerator random) {
        this.time = time;
        this.random = random;
    }

    @Override
    public JobId get() {
        StringBuilder text = new StringBuilder();
        append(text, time.millis(), TIME_LETTERS);
        append(text, random.nextLong(), RANDOM_LETTERS);
        append(text, random.nextLong(), RANDOM_LETTERS);
        return new JobId(text.toString());
    }

    private static void append(StringBuilder text, long bits, int letters) {
        for (int letter = letters - 1; letter >= 0; letter--) {
            text.append(LETTERS[(int) (bits >>> (letter * BITS_PER_LETTER)) & (LETTERS.length - 1)]);
        }
    }
}
