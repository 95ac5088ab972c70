package org.chivetally.load;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.chivetally.job.JobOutcome.Certainty;

/** Calculates the figures of a run from its requests, starts and counters. */
final class FigureCalculator {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final long RECOVERY_WINDOW_NANOS = 1_000_000_000L;
    /**
     * Share of the jobs of a window that must be complete within {@link #RECOVERED_RESPONSE_RATIO} for it to count as
     * recovered.
     */
    private static final double RECOVERED_SHARE = 0.9;

    private static final double RECOVERED_RESPONSE_RATIO = 2.0;
    private static final long ANSWER_TOLERANCE_NANOS = 2_000_000_000L;
    private static final int MINIMUM_MESSAGES_PER_TASK = 2;
    private static final long MAXIMUM_MICROS = 3_600_000_000L;

    private final LoadPlan plan;
    private final List<RequestRecord> requests;
    private final List<RequestRecord> lastRequests;
    private final int slots;

    FigureCalculator(LoadPlan plan, List<RequestRecord> requests) {
        this.plan = plan;
        this.requests = requests;
        this.lastRequests = lastRequests(
                requests.stream().filter(request -> request.repeat() == 0).toList());
        this.slots = plan.workload().slots();
    }

    /** Returns the number of submissions by the outcome of their last request. */
    Map<String, Integer> outcomeCounts() {
        Map<String, Integer> counts = new TreeMap<>();
        for (RequestRecord request : lastRequests) {
            counts.merge(outcomeName(request.reply()), 1, Integer::sum);
        }
        return counts;
    }

    /** Returns the number of submissions. */
    int jobCount() {
        return lastRequests.size();
    }

    /**
     * Returns all figures that can be derived from the requests, starts and counters.
     *
     * @param counters increase of the entries' counters during the run
     */
    Map<Figure, Double> figures(Schedule schedule, OutcomeChecker checker, CheckResult checkResult, Counters counters) {
        Map<Figure, Double> figures = new EnumMap<>(Figure.class);
        addResponseRatios(figures);
        ResponseRatio singleQueue = SingleQueueSimulation.simulate(plan, schedule);
        figures.put(Figure.SINGLE_QUEUE_P50, singleQueue.percentile(50));
        figures.put(Figure.SINGLE_QUEUE_P99, singleQueue.percentile(99));
        figures.put(
                Figure.GOODPUT, goodput(plan.warmUp().toNanos(), plan.duration().toNanos()));
        addPhaseFigures(figures);
        figures.put(Figure.FAILED_SHARE, failedShare());
        figures.put(Figure.SENDING_LAG_MILLIS_P99, sendingLagMillisP99());
        figures.put(Figure.UNANSWERED_JOBS, (double) unansweredJobs().size());
        refusalMillisP99().ifPresent(millis -> figures.put(Figure.REFUSAL_MILLIS_P99, millis));
        addStartFigures(figures, checker, counters);
        figures.put(
                Figure.DUPLICATE_STARTS, (double) checkResult.duplicateStarts().size());
        figures.put(
                Figure.PARTIAL_ANSWERS, (double) checkResult.partialAnswers().size());
        figures.put(Figure.FALSE_REFUSALS, (double) checkResult.falseRefusals().size());
        figures.put(Figure.CUT_REQUESTS, (double) checkResult.cutRequests().size());
        figures.put(Figure.STARTS_AFTER_LEAVING, (double)
                checkResult.startsAfterLeaving().size());
        figures.put(Figure.CONFLICTING_OUTCOMES, (double)
                checkResult.conflictingOutcomes().size());
        return figures;
    }

    private static List<RequestRecord> lastRequests(List<RequestRecord> requests) {
        Map<Integer, RequestRecord> last = new TreeMap<>();
        for (RequestRecord request : requests) {
            last.merge(request.job().index(), request, FigureCalculator::laterAttempt);
        }
        return new ArrayList<>(last.values());
    }

    private static List<RequestRecord> lastRequestsByRepeat(List<RequestRecord> requests) {
        Map<Integer, List<RequestRecord>> byRepeat = new TreeMap<>();
        for (RequestRecord request : requests) {
            byRepeat.computeIfAbsent(request.repeat(), repeat -> new ArrayList<>())
                    .add(request);
        }
        List<RequestRecord> last = new ArrayList<>();
        byRepeat.values().forEach(repeatRequests -> last.addAll(lastRequests(repeatRequests)));
        return last;
    }

    private static RequestRecord laterAttempt(RequestRecord first, RequestRecord second) {
        return first.attempt() >= second.attempt() ? first : second;
    }

    private void addResponseRatios(Map<Figure, Double> figures) {
        ResponseRatio ratio = new ResponseRatio();
        for (RequestRecord request : lastRequests) {
            if (isComplete(request) && !isCancelled(request) && plan.isMeasured(request.dueNanos())) {
                ratio.add(request.responseNanos(), request.job().idealNanos(slots));
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

    /**
     * Returns the work of the jobs whose complete answer arrived within a period, as a share of the capacity of all
     * slots in that period.
     *
     * @param fromNanos beginning of the period, in nanoseconds since the beginning of the run
     * @param untilNanos end of the period, in nanoseconds since the beginning of the run
     */
    private double goodput(long fromNanos, long untilNanos) {
        double work = 0;
        for (RequestRecord request : lastRequests) {
            if (isComplete(request) && request.endedNanos() >= fromNanos && request.endedNanos() < untilNanos) {
                work += request.job().workNanos();
            }
        }
        return work / ((double) slots * (untilNanos - fromNanos));
    }

    private void addPhaseFigures(Map<Figure, Double> figures) {
        double work = 0;
        double nanos = 0;
        Workload.Phase lastPhase = null;
        for (Workload.Phase phase : plan.workload().phases()) {
            if (phase.factor() <= 1) {
                continue;
            }
            long from = phase.start().toNanos();
            long until = from + phase.length().toNanos();
            work += goodput(from, until) * (until - from);
            nanos += until - from;
            lastPhase = phase;
        }
        if (lastPhase == null) {
            return;
        }
        figures.put(Figure.GOODPUT_IN_PHASES, work / nanos);
        long end = lastPhase.start().plus(lastPhase.length()).toNanos();
        if (end < plan.duration().toNanos()) {
            figures.put(Figure.RECOVERY_SECONDS, recoveryNanos(end) / NANOS_PER_SECOND);
        }
    }

    /**
     * Returns the time in nanoseconds from the given time to the end of the last window in which too many jobs were
     * slow or incomplete; zero if there is none.
     *
     * @param fromNanos nanoseconds since the beginning of the run
     */
    private double recoveryNanos(long fromNanos) {
        Map<Long, int[]> windows = new TreeMap<>();
        for (RequestRecord request : lastRequests) {
            if (request.dueNanos() < fromNanos || isCancelled(request)) {
                continue;
            }
            int[] counts = windows.computeIfAbsent(
                    (request.dueNanos() - fromNanos) / RECOVERY_WINDOW_NANOS, key -> new int[2]);
            counts[0]++;
            counts[1] += isRecovered(request) ? 1 : 0;
        }
        double recoveryNanos = 0;
        for (Map.Entry<Long, int[]> window : windows.entrySet()) {
            int[] counts = window.getValue();
            if (counts[1] < counts[0] * RECOVERED_SHARE) {
                recoveryNanos = (window.getKey() + 1.0) * RECOVERY_WINDOW_NANOS;
            }
        }
        return recoveryNanos;
    }

    private boolean isRecovered(RequestRecord request) {
        double ratio = (double) request.responseNanos() / request.job().idealNanos(slots);
        return isComplete(request) && ratio <= RECOVERED_RESPONSE_RATIO;
    }

    private double failedShare() {
        long total =
                lastRequests.stream().filter(request -> !isCancelled(request)).count();
        long failed = lastRequests.stream()
                .filter(request -> !isCancelled(request) && !isComplete(request))
                .count();
        return total == 0 ? 0 : (double) failed / total;
    }

    private double sendingLagMillisP99() {
        Histogram micros = new Histogram(MAXIMUM_MICROS, 3);
        for (RequestRecord request : requests) {
            if (request.attempt() == 0 && plan.isMeasured(request.dueNanos())) {
                long lagMicros = (request.sentNanos() - request.dueNanos()) / 1_000;
                micros.recordValue(Math.clamp(lagMicros, 0, MAXIMUM_MICROS));
            }
        }
        return micros.getValueAtPercentile(99) / 1e3;
    }

    /**
     * Returns the indexes of the submissions that, on the first request or on a repeat, received neither an answer nor
     * a definite failure shortly after the deadline.
     */
    List<Integer> unansweredJobs() {
        long deadline = plan.workload().deadline().toNanos();
        return lastRequestsByRepeat(requests).stream()
                .filter(request -> !isAnswered(request) || request.responseNanos() > deadline + ANSWER_TOLERANCE_NANOS)
                .map(request -> request.job().index())
                .distinct()
                .toList();
    }

    private static boolean isAnswered(RequestRecord request) {
        return request.reply() instanceof Reply.Complete || request.reply() instanceof Reply.Problem;
    }

    private Optional<Double> refusalMillisP99() {
        Histogram micros = new Histogram(MAXIMUM_MICROS, 3);
        for (RequestRecord request : requests) {
            if (request.reply() instanceof Reply.Problem problem
                    && problem.certainty() == Certainty.NOT_RUN
                    && problem.code().equals("overloaded")) {
                long nanos = request.endedNanos() - request.sentNanos();
                micros.recordValue(Math.clamp(nanos / 1_000, 0, MAXIMUM_MICROS));
            }
        }
        return micros.getTotalCount() == 0
                ? Optional.empty()
                : Optional.of(micros.getValueAtPercentile(99) * 1e3 / NANOS_PER_MILLI);
    }

    private void addStartFigures(Map<Figure, Double> figures, OutcomeChecker checker, Counters counters) {
        int startCount = checker.startCount();
        if (startCount == 0) {
            return;
        }
        double seconds = plan.duration().toNanos() / NANOS_PER_SECOND;
        figures.put(Figure.STARTS_PER_SECOND, startCount / seconds);
        figures.put(
                Figure.RETRIED_SHARE, (double) (startCount - checker.startedTaskCount()) / checker.startedTaskCount());
        if (counters.frameCount() == 0) {
            return;
        }
        double messagesPerTask = (double) counters.frameCount() / startCount;
        figures.put(Figure.MESSAGES_PER_TASK, messagesPerTask);
        figures.put(Figure.EXTRA_MESSAGES_PER_TASK, messagesPerTask - MINIMUM_MESSAGES_PER_TASK);
        figures.put(Figure.BYTES_PER_TASK, (double) counters.bytes() / startCount);
        figures.put(Figure.WASTED_PER_TASK, (double) counters.wastedCount() / startCount);
    }

    private static boolean isComplete(RequestRecord request) {
        return request.reply() instanceof Reply.Complete;
    }

    private static boolean isCancelled(RequestRecord request) {
        return request.job().cancelNanos().isPresent();
    }

    private static String outcomeName(Reply reply) {
        return switch (reply) {
            case Reply.Complete complete -> "complete";
            case Reply.Problem problem -> problem.certainty().text() + " " + problem.code();
            case Reply.Malformed malformed -> "malformed " + malformed.status();
            case Reply.Unreachable unreachable -> "unreachable";
            case Reply.Closed closed -> "closed";
            case Reply.Pending pending -> "pending";
            case Reply.TimedOut timedOut -> "no answer";
        };
    }
}
