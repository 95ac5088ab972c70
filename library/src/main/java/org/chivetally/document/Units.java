package org.chivetally.document;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses and formats durations and sizes with units. */
public final class Units {
    private static final Pattern DURATION = Pattern.compile("(\\d{1,12})(us|ms|s|m|h)");
    private static final Pattern BYTES = Pattern.compile("(\\d{1,12})(B|KiB|MiB|GiB|TiB)?");
    private static final Map<String, Long> NANOSECONDS =
            Map.of("us", 1_000L, "ms", 1_000_000L, "s", 1_000_000_000L, "m", 60_000_000_000L, "h", 3_600_000_000_000L);
    private static final Map<String, Long> BYTE_FACTORS =
            Map.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20, "GiB", 1L << 30, "TiB", 1L << 40);

    private Units() {}

    /** Parses a duration such as {@code 250ms}, {@code 2s}, {@code 5m} or {@code 1h}; empty if the text is invalid. */
    public static Optional<Duration> parseDuration(String text) {
        Matcher matcher = DURATION.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        try {
            long factor = NANOSECONDS.get(matcher.group(2));
            return Optional.of(Duration.ofNanos(Math.multiplyExact(Long.parseLong(matcher.group(1)), factor)));
        } catch (ArithmeticException tooLong) {
            return Optional.empty();
        }
    }

    /** Parses a size such as {@code 512}, {@code 64KiB} or {@code 16MiB} into bytes; empty if the text is invalid. */
    public static Optional<Long> parseBytes(String text) {
        Matcher matcher = BYTES.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        try {
            String unit = matcher.group(2) == null ? "B" : matcher.group(2);
            return Optional.of(Math.multiplyExact(Long.parseLong(matcher.group(1)), BYTE_FACTORS.get(unit)));
        } catch (ArithmeticException tooLarge) {
            return Optional.empty();
        }
    }

    /** Formats a duration for {@link #parseDuration}, in the largest unit that gives a whole number. */
    public static String formatDuration(Duration duration) {
        long nanoseconds = duration.toNanos();
        for (String unit : new String[] {"h", "m", "s", "ms"}) {
            if (nanoseconds != 0 && nanoseconds % NANOSECONDS.get(unit) == 0) {
                return nanoseconds / NANOSECONDS.get(unit) + unit;
            }
        }
        return nanoseconds == 0 ? "0s" : nanoseconds / NANOSECONDS.get("us") + "us";
    }

    /** Formats a size in bytes for {@link #parseBytes}, in the largest unit that gives a whole number. */
    public static String formatBytes(long size) {
        for (String unit : new String[] {"TiB", "GiB", "MiB", "KiB"}) {
            if (size != 0 && size % BYTE_FACTORS.get(unit) == 0) {
                return size / BYTE_FACTORS.get(unit) + unit;
            }
        }
        return size + "B";
    }
}
