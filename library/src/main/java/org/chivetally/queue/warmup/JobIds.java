package org.chivetally.queue.warmup;

/** Names of an exercise's jobs, written without a formatter, which no real job needs. */
final class JobIds {
    private static final String ZEROS = "0000000000000000";

    private JobIds() {}

    /** Returns a number as 16 hexadecimal digits. */
    static String of(long number) {
        String digits = Long.toHexString(number);
        return ZEROS.substring(digits.length()) + digits;
    }
}
