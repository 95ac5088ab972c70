package org.chivetally.daemon;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.chivetally.coordination.DispatchEffect;
import org.chivetally.coordination.DispatchEvent;
import org.chivetally.coordination.DispatchSnapshot;
import org.chivetally.entry.dispatch.DispatchCore;

/**
 * Keeps the log lines of the latest decisions by job, so that operators can look up their reasons. Thread-safe.
 *
 * <p>Keeps at most {@link #MAXIMUM_LINES} lines and discards the job without a decision or a query for the longest time
 * first.
 */
final class DecisionHistory {
    /** Maximum number of lines over all jobs. */
    static final int MAXIMUM_LINES = 20_000;

    private static final Pattern JOB = Pattern.compile("(?:^| )job=(\\S+)");
    private static final int INITIAL_JOBS = 64;
    private static final float LOAD_FACTOR = 0.75f;

    private final Map<String, List<String>> linesByJob = new LinkedHashMap<>(INITIAL_JOBS, LOAD_FACTOR, true);
    private int lineCount;

    /** Returns a core that delegates to the given one and records the lines of its decisions. */
    DispatchCore recording(DispatchCore core) {
        return new RecordingCore(core);
    }

    /** Returns the recorded lines about a job in order; empty if there are none. */
    synchronized List<String> linesOf(String job) {
        return List.copyOf(linesByJob.getOrDefault(job, List.of()));
    }

    private void add(String line) {
        Matcher job = JOB.matcher(line);
        if (job.find()) {
            add(job.group(1), line);
        }
    }

    private synchronized void add(String job, String line) {
        linesByJob.computeIfAbsent(job, unused -> new ArrayList<>()).add(line);
        lineCount++;
        while (lineCount > MAXIMUM_LINES) {
            String oldest = linesByJob.keySet().iterator().next();
            lineCount -= linesByJob.remove(oldest).size();
        }
    }

    private final class RecordingCore implements DispatchCore {
        private final DispatchCore core;

        RecordingCore(DispatchCore core) {
            this.core = core;
        }

        @Override
        public List<DispatchEffect> handle(DispatchEvent event, long nowNanos) {
            List<DispatchEffect> effects = core.handle(event, nowNanos);
            for (DispatchEffect effect : effects) {
                if (effect instanceof DispatchEffect.WriteLine line) {
                    add(line.line().toString());
                }
            }
            return effects;
        }

        @Override
        public Optional<DispatchSnapshot> snapshot() {
            return core.snapshot();
        }
    }
}
