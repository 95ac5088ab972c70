package org.chivetally.load;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.chivetally.job.JobOutcome.Certainty;

/** Computes the figures of a run from its callers' records. */
final class Summary {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final long WINDOW_NANOS = 1_000_000_000L;
    /** A window counts as recovered when this share of its jobs is complete within this ratio. */
    private static final double RECOVERED_SHARE = 0.9;

    private static final double RECOVERED_RATIO = 2.0;
    private static final long ANSWER_MARGIN_NANOS = 2_000_000_000L;
    private static final int MESSAGES_NEEDED = 2;
    private static final long HIGHEST_MICROS = 3_600_000_000L;

    private final LoadPlan plan;
    private final List<CallerRecord> requests;
    private final List<CallerRecord> outcomes;
    private final int slots;

    Summary(LoadPlan plan, List<CallerRecord> requests) {
        this.plan = plan;
        this.requests = requests;
        this.outcomes = lastRequests(
                requests.stream().filter(request -> request.repeat() == 0).toList());
        this.slots = plan.workload().slots();
    }

    /** Returns submissions by how their last request ended. */
    Map<String, Integer> outcomeCounts() {
        Map<String, Integer> counts = new TreeMap<>();
        for (CallerRecord outcome : outcomes) {
            counts.merge(name(outcome.reply()), 1, Integer::sum);
        }
        return counts;
    }

    /** Returns the number of submissions. */
    int jobs() {
        return outcomes.size();
    }

    /** Returns all figures that can be told from callers, starts and counters. */
    Map<Figure, Double> figures(Schedule schedule, Judge judge, Verdict verdict, Counters counters) {
        Map<Figure, Double> figures = new EnumMap<>(Figure.class);
        responses(figures);
        ResponseRatio floor = SingleQueue.play(plan, schedule);
        figures.put(Figure.SINGLE_QUEUE_P50, floor.percentile(50));
        figures.put(Figure.SINGLE_QUEUE_P99, floor.percentile(99));
        figures.put(
                Figure.GOODPUT, goodput(plan.warmUp().toNanos(), plan.duration().toNanos()));
        phases(figures);
        figures.put(Figure.FAILED_SHARE, failedShare());
        figures.put(Figure.SENDING_LAG_MILLIS_P99, sendingLag());
        figures.put(Figure.UNANSWERED_JOBS, (double) unanswered().size());
        refusals().ifPresent(millis -> figures.put(Figure.REFUSAL_MILLIS_P99, millis));
        starts(figures, judge, counters);
        figures.put(Figure.DUPLICATE_STARTS, (double) verdict.duplicateStarts().size());
        figures.put(Figure.PARTIAL_ANSWERS, (double) verdict.partialAnswers().size());
        figures.put(Figure.FALSE_REFUSALS, (double) verdict.falseRefusals().size());
        figures.put(Figure.CUT_REQUESTS, (double) verdict.cutRequests().size());
        figures.put(Figure.STARTS_AFTER_LEAVING, (double)
                verdict.startsAfterLeaving().size());
        figures.put(Figure.CONFLICTING_OUTCOMES, (double)
                verdict.conflictingOutcomes().size());
        return figures;
    }

    private static List<CallerRecord> lastRequests(List<CallerRecord> requests) {
        Map<Integer, CallerRecord> last = new TreeMap<>();
        for (CallerRecord request : requests) {
            last.merge(request.job().index(), request, Summary::later);
        }
        return new ArrayList<>(last.values());
    }

    private static List<CallerRecord> lastRequestsOfRepeats(List<CallerRecord> requests) {
        Map<Integer, List<CallerRecord>> byRepeat = new TreeMap<>();
        for (CallerRecord request : requests) {
            byRepeat.computeIfAbsent(request.repeat(), repeat -> new ArrayList<>())
                    .add(request);
        }
        List<CallerRecord> last = new ArrayList<>();
        byRepeat.values().forEach(ofRepeat -> last.addAll(lastRequests(ofRepeat)));
        return last;
    }

    private static CallerRecord later(CallerRecord first, CallerRecord second) {
        return first.attempt() >= second.attempt() ? first : second;
    }

    private void responses(Map<Figure, Double> figures) {
        ResponseRatio ratio = new ResponseRatio();
        for (CallerRecord outcome : outcomes) {
            if (complete(outcome) && !cancelled(outcome) && plan.measures(outcome.dueNanos())) {
                ratio.add(outcome.responseNanos(), outcome.job().idealNanos(slots));
            }
        }
        if (ratio.count() == 0) {
            return;
        }
        figures.put(Figure.RESPONSE_P50, ratio.percentile(50));
        figures.put(Figure.RESPONSE_P90, ratio.percentile(90));
        figures.put(Figure.RESPONSE_P99, ratio.percentile(99));
        figures.put(Figure.RESPONSE_MAX, ratio.highest());
    }

    /** Work of the jobs whose whole answer arrived in a span, as a share of the slot time of that span. */
    private double goodput(long fromNanos, long untilNanos) {
        double work = 0;
        for (CallerRecord outcome : outcomes) {
            if (complete(outcome) && outcome.endedNanos() >= fromNanos && outcome.endedNanos() < untilNanos) {
                work += outcome.job().workNanos();
            }
        }
        return work / ((double) slots * (untilNanos - fromNanos));
    }

    private void phases(Map<Figure, Double> figures) {
        double work = 0;
        double nanos = 0;
        Workload.Phase last = null;
        for (Workload.Phase phase : plan.workload().phases()) {
            if (phase.factor() <= 1) {
                continue;
            }
            long from = phase.start().toNanos();
            long until = from + phase.length().toNanos();
            work += goodput(from, until) * (until - from);
            nanos += until - from;
            last = phase;
        }
        if (last == null) {
            return;
        }
        figures.put(Figure.GOODPUT_IN_PHASES, work / nanos);
        long end = last.start().plus(last.length()).toNanos();
        if (end < plan.duration().toNanos()) {
            figures.put(Figure.RECOVERY_SECONDS, recovery(end) / NANOS_PER_SECOND);
        }
    }

    /** Time from an instant to the end of the last window after it in which too many jobs were slow or not complete. */
    private double recovery(long fromNanos) {
        Map<Long, int[]> windows = new TreeMap<>();
        for (CallerRecord outcome : outcomes) {
            if (outcome.dueNanos() < fromNanos || cancelled(outcome)) {
                continue;
            }
            int[] counts = windows.computeIfAbsent((outcome.dueNanos() - fromNanos) / WINDOW_NANOS, key -> new int[2]);
            counts[0]++;
            counts[1] += recovered(outcome) ? 1 : 0;
        }
        double recovery = 0;
        for (Map.Entry<Long, int[]> window : windows.entrySet()) {
            int[] counts = window.getValue();
            if (counts[1] < counts[0] * RECOVERED_SHARE) {
                recovery = (window.getKey() + 1.0) * WINDOW_NANOS;
            }
        }
        return recovery;
    }

    private boolean recovered(CallerRecord outcome) {
        double ratio = (double) outcome.responseNanos() / outcome.job().idealNanos(slots);
        return complete(outcome) && ratio <= RECOVERED_RATIO;
    }

    private double failedShare() {
        long counted = outcomes.stream().filter(outcome -> !cancelled(outcome)).count();
        long failed = outcomes.stream()
                .filter(outcome -> !cancelled(outcome) && !complete(outcome))
                .count();
        return counted == 0 ? 0 : (double) failed / counted;
    }

    private double sendingLag() {
        Histogram micros = new Histogram(HIGHEST_MICROS, 3);
        for (CallerRecord request : requests) {
            if (request.attempt() == 0 && plan.measures(request.dueNanos())) {
                long lag = (request.sentNanos() - request.dueNanos()) / 1_000;
                micros.recordValue(Math.clamp(lag, 0, HIGHEST_MICROS));
            }
        }
        return micros.getValueAtPercentile(99) / 1e3;
    }

    /**
     * Returns the submissions that got, or a repeat of which got, no answer or clear failure soon after the deadline.
     */
    List<Integer> unanswered() {
        long deadline = plan.workload().deadline().toNanos();
        return lastRequestsOfRepeats(requests).stream()
                .filter(outcome -> !answered(outcome) || outcome.responseNanos() > deadline + ANSWER_MARGIN_NANOS)
                .map(outcome -> outcome.job().index())
                .distinct()
                .toList();
    }

    private static boolean answered(CallerRecord outcome) {
        return outcome.reply() instanceof Reply.Complete || outcome.reply() instanceof Reply.Problem;
    }

    private Optional<Double> refusals() {
        Histogram micros = new Histogram(HIGHEST_MICROS, 3);
        for (CallerRecord request : requests) {
            if (request.reply() instanceof Reply.Problem problem
                    && problem.certainty() == Certainty.NOT_RUN
                    && problem.code().equals("overloaded")) {
                long time = request.endedNanos() - request.sentNanos();
                micros.recordValue(Math.clamp(time / 1_000, 0, HIGHEST_MICROS));
            }
        }
        return micros.getTotalCount() == 0
                ? Optional.empty()
                : Optional.of(micros.getValueAtPercentile(99) * 1e3 / NANOS_PER_MILLI);
    }

    private void starts(Map<Figure, Double> figures, Judge judge, Counters counters) {
        int starts = judge.startCount();
        if (starts == 0) {
            return;
        }
        double seconds = plan.duration().toNanos() / NANOS_PER_SECOND;
        figures.put(Figure.STARTS_PER_SECOND, starts / seconds);
        figures.put(Figure.RETRIED_SHARE, (double) (starts - judge.startedTasks()) / judge.startedTasks());
        if (counters.frameCount() == 0) {
            return;
        }
        double messages = (double) counters.frameCount() / starts;
        figures.put(Figure.MESSAGES_PER_TASK, messages);
        figures.put(Figure.EXTRA_MESSAGES_PER_TASK, messages - MESSAGES_NEEDED);
        figures.put(Figure.BYTES_PER_TASK, (double) counters.bytes() / starts);
        figures.put(Figure.WASTED_PER_TASK, (double) counters.wastedCount() / starts);
    }

    private static boolean complete(CallerRecord outcome) {
        return outcome.reply() instanceof Reply.Complete;
    }

    private static boolean cancelled(CallerRecord outcome) {
        return outcome.job().cancelNanos().isPresent();
    }

    private static String name(Reply reply) {
        return switch (reply) {
            case Reply.Complete complete -> "complete";
            case Reply.Problem problem -> problem.certainty().text() + " " + problem.code();
            case Reply.Malformed malformed -> "malformed " + malformed.status();
            case Reply.Unreachable unreachable -> "unreachable";
            case Reply.Closed closed -> "closed";
            case Reply.Pending pending -> "pending";
            case Reply.TimedOut late -> "no answer";
        };
    }
}
