package org.chivetally.command;

import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** Parses durations such as {@code 500ms}, {@code 30s}, {@code 2m} or {@code PT30S}. */
final class DurationConverter implements ITypeConverter<Duration> {
    private static final Pattern SHORT_FORM = Pattern.compile("(\\d+)(ms|s|m|h)");

    @Override
    public Duration convert(String text) {
        Matcher matcher = SHORT_FORM.matcher(text);
        if (!matcher.matches()) {
            return parseIso(text);
        }
        long number = Long.parseLong(matcher.group(1));
        return switch (matcher.group(2)) {
            case "ms" -> Duration.ofMillis(number);
            case "s" -> Duration.ofSeconds(number);
            case "m" -> Duration.ofMinutes(number);
            default -> Duration.ofHours(number);
        };
    }

    private static Duration parseIso(String text) {
        try {
            return Duration.parse(text);
        } catch (java.time.format.DateTimeParseException malformed) {
            throw new TypeConversionException("'" + text + "' is not a duration such as 500ms, 30s, 2m or PT30S");
        }
    }
}
