package org.chivetally.command.losses;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Counts jobs by the time window of their acceptance and by their {@link Loss}. */
public final class LossTable {
    private final Duration window;
    private final Map<String, JobHistory> unfinishedJobs = new LinkedHashMap<>();
    private final Map<Instant, Map<Loss, Integer>> counts = new TreeMap<>();
    private final Map<Instant, Integer> starts = new TreeMap<>();
    private long skippedLines;

    /**
     * Creates an empty table.
     *
     * @param window length of the time window of one row
     */
    public LossTable(Duration window) {
        if (window.isZero() || window.isNegative()) {
            throw new IllegalArgumentException("the window must be positive: " + window);
        }
        this.window = window;
    }

    /** Adds a line of a log; the lines of each process must be added in order. */
    public void add(String text) {
        Optional<LogLine> line = LogLine.parse(text);
        if (line.isEmpty()) {
            skippedLines++;
            return;
        }
        add(line.get());
    }

    private void add(LogLine line) {
        switch (line.event()) {
            case "job-accepted" -> accepted(line);
            case "job-refused" -> count(line.time(), Loss.REFUSED);
            case "run-placed" -> unfinishedJob(line.text("task")).ifPresent(job -> job.placed(line));
            case "run-ended" -> unfinishedJob(line.text("task")).ifPresent(job -> job.runEnded(line));
            case "job-ended" -> {
                Optional<JobHistory> job = Optional.ofNullable(unfinishedJobs.remove(line.text("job")));
                job.ifPresent(history -> {
                    history.ended(line);
                    count(history);
                });
            }
            case "started" -> starts.merge(windowStart(line.time()), 1, Integer::sum);
            default -> {}
        }
    }

    /**
     * Starts the history of a job. A caller resubmits a lost job under the same id, so an earlier history without an
     * end counts as lost.
     */
    private void accepted(LogLine line) {
        JobHistory earlier = unfinishedJobs.put(line.text("job"), new JobHistory(line));
        if (earlier != null) {
            count(earlier);
        }
    }

    private Optional<JobHistory> unfinishedJob(String task) {
        int dot = task.indexOf('.');
        return dot < 0 ? Optional.empty() : Optional.ofNullable(unfinishedJobs.get(task.substring(0, dot)));
    }

    private void count(JobHistory job) {
        count(job.acceptedAt(), job.loss());
    }

    private void count(Instant time, Loss loss) {
        counts.computeIfAbsent(windowStart(time), row -> new EnumMap<>(Loss.class))
                .merge(loss, 1, Integer::sum);
    }

    private Instant windowStart(Instant time) {
        return Instant.ofEpochMilli(time.toEpochMilli() / window.toMillis() * window.toMillis());
    }

    /** Returns the table as lines of text; jobs without an end so far count as {@link Loss#ENTRY_LOST}. */
    public List<String> lines() {
        unfinishedJobs.values().forEach(this::count);
        unfinishedJobs.clear();
        List<String> lines = new ArrayList<>();
        StringBuilder header = new StringBuilder("%-24s %6s".formatted("from", "starts"));
        for (Loss loss : Loss.values()) {
            header.append(" %18s".formatted(loss.title()));
        }
        lines.add(header.toString());
        starts.keySet().forEach(row -> counts.computeIfAbsent(row, absentRow -> new EnumMap<>(Loss.class)));
        counts.forEach((row, byLoss) -> lines.add(line(row, byLoss)));
        if (skippedLines > 0) {
            lines.add(skippedLines + " lines passed over, as they are not log lines of chivetally");
        }
        return lines;
    }

    private String line(Instant row, Map<Loss, Integer> byLoss) {
        StringBuilder line = new StringBuilder("%-24s %6d".formatted(row, starts.getOrDefault(row, 0)));
        for (Loss loss : Loss.values()) {
            line.append(" %18d".formatted(byLoss.getOrDefault(loss, 0)));
        }
        return line.toString();
    }
}
