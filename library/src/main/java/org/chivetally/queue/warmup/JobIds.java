package org.chivetally.queue.warmup;

/** Ids of warm-up jobs. They are written without a formatter, because real jobs don't use one. */
final class JobIds {
    private static final String ZEROS = "0000000000000000";

    private JobIds() {}

    /** Formats a number as 16 hexadecimal digits. */
    static String of(long number) {
        String digits = Long.toHexString(number);
        return ZEROS.substring(digits.length()) + digits;
    }
}
