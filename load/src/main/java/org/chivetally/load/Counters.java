package org.chivetally.load;

import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Transport counters of one process at one time, or their increase over a period.
 *
 * @param frames number of frames sent and received, by kind
 * @param bytes bytes of all frames sent and received
 * @param wasted number of messages that had no effect, by kind
 */
public record Counters(Map<String, Long> frames, long bytes, Map<String, Long> wasted) {
    /** Counters that are all zero. */
    public static final Counters NONE = new Counters(Map.of(), 0, Map.of());

    private static final String FRAMES = "chivetally_transport_frames_total";
    private static final String BYTES = "chivetally_transport_bytes_total";
    private static final String WASTED = "chivetally_wasted_messages_total";
    private static final Pattern SAMPLE = Pattern.compile("^(\\w+)(?:\\{(.*)\\})? (\\S+)$", Pattern.MULTILINE);
    private static final Pattern KIND = Pattern.compile("\\b(?:kind|body)=\"([^\"]*)\"");

    /** Copies the maps without kinds whose count is zero. */
    public Counters {
        frames = nonZero(frames);
        wasted = nonZero(wasted);
    }

    /** Parses the counters from a metrics page in the Prometheus text format. */
    public static Counters parse(String page) {
        Map<String, Long> frames = new TreeMap<>();
        Map<String, Long> wasted = new TreeMap<>();
        long bytes = 0;
        Matcher sample = SAMPLE.matcher(page);
        while (sample.find()) {
            long value = (long) Double.parseDouble(sample.group(3));
            switch (sample.group(1)) {
                case FRAMES -> frames.merge(kind(sample.group(2)), value, Long::sum);
                case WASTED -> wasted.merge(kind(sample.group(2)), value, Long::sum);
                case BYTES -> bytes += value;
                default -> {
                    // Not used by the load tool.
                }
            }
        }
        return new Counters(frames, bytes, wasted);
    }

    /** Returns the sum of these counters and the given ones. */
    public Counters plus(Counters others) {
        return new Counters(sum(frames, others.frames), bytes + others.bytes, sum(wasted, others.wasted));
    }

    /**
     * Returns the increase since earlier counters of the same process. A counter that is lower than before belongs to a
     * restarted process, so its whole value counts as the increase.
     */
    public Counters increaseSince(Counters earlier) {
        return new Counters(
                increase(frames, earlier.frames), increase(bytes, earlier.bytes), increase(wasted, earlier.wasted));
    }

    /** Returns the number of frames of all kinds. */
    public long frameCount() {
        return frames.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Returns the number of wasted messages of all kinds. */
    public long wastedCount() {
        return wasted.values().stream().mapToLong(Long::longValue).sum();
    }

    private static Map<String, Long> nonZero(Map<String, Long> counts) {
        Map<String, Long> nonZero = new TreeMap<>(counts);
        nonZero.values().removeIf(count -> count == 0);
        return nonZero;
    }

    private static String kind(String labels) {
        Matcher matcher = KIND.matcher(labels == null ? "" : labels);
        return matcher.find() ? matcher.group(1) : "";
    }

    private static Map<String, Long> sum(Map<String, Long> first, Map<String, Long> second) {
        Map<String, Long> sum = new TreeMap<>(first);
        second.forEach((kind, value) -> sum.merge(kind, value, Long::sum));
        return sum;
    }

    private static Map<String, Long> increase(Map<String, Long> now, Map<String, Long> earlier) {
        Map<String, Long> increase = new TreeMap<>();
        now.forEach((kind, value) -> increase.put(kind, increase(value, earlier.getOrDefault(kind, 0L))));
        return increase;
    }

    private static long increase(long now, long earlier) {
        return now >= earlier ? now - earlier : now;
    }
}
