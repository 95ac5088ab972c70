package org.chivetally.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.chivetally.job.JobOutcome.Certainty;

/**
 * Checks the outcomes that clients received against the starts that minions recorded.
 *
 * <p>Timestamps of different processes are compared for second starts of idempotent tasks, for false and contradicted
 * refusals, and for starts on draining minions. These checks require all processes to run on one machine, where they
 * share the monotonic clock.
 */
public final class OutcomeChecker {
    private static final String FAILED = "failed";
    private static final String DONE = "done";

    private final Tokens tokens;
    private final long beginNanos;
    private final Map<Integer, List<RequestRecord>> requests = new TreeMap<>();
    private final Map<String, List<StartRecord>> starts = new HashMap<>();

    /**
     * Groups the records of one run and ignores start records of other runs.
     *
     * @param requestRecords requests of all clients
     * @param startRecords starts of all minions
     * @param beginNanos reading of the monotonic clock at the beginning of the run, from which the times of requests
     *     count
     */
    public OutcomeChecker(
            Tokens tokens, List<RequestRecord> requestRecords, List<StartRecord> startRecords, long beginNanos) {
        this.tokens = tokens;
        this.beginNanos = beginNanos;
        for (RequestRecord request : requestRecords) {
            requests.computeIfAbsent(request.job().index(), index -> new ArrayList<>())
                    .add(request);
        }
        for (StartRecord record : startRecords) {
            if (tokens.parse(record.token()).isPresent()) {
                starts.computeIfAbsent(record.token(), token -> new ArrayList<>())
                        .add(record);
            }
        }
    }

    /**
     * Finds every violated guarantee.
     *
     * @param stops periods during which entries were stopping gracefully
     * @param draining periods during which minions were draining
     */
    public CheckResult check(List<GracefulStop> stops, List<DrainingMinion> draining) {
        List<String> falseRefusals = falseRefusals();
        List<String> contradicted = contradictedRefusals();
        contradicted.removeAll(falseRefusals);
        return new CheckResult(
                duplicateStarts(),
                partialAnswers(),
                falseRefusals,
                cutRequests(stops),
                startsAfterLeaving(draining),
                conflictingOutcomes(),
                contradicted,
                unrecordedAnswers());
    }

    /** Returns the number of starts recorded for this run. */
    public int startCount() {
        return starts.values().stream().mapToInt(List::size).sum();
    }

    /** Returns the number of tasks of this run with at least one recorded start. */
    public int startedTaskCount() {
        return starts.size();
    }

    private List<String> duplicateStarts() {
        List<String> duplicates = new ArrayList<>();
        for (Map.Entry<String, List<StartRecord>> entry : new TreeMap<>(starts).entrySet()) {
            if (entry.getValue().size() > 1 && isForbiddenRestart(entry.getKey(), entry.getValue())) {
                duplicates.add(entry.getKey());
            }
        }
        return duplicates;
    }

    private boolean isForbiddenRestart(String token, List<StartRecord> records) {
        Optional<Workload.ServiceShare> service = service(token);
        if (service.isEmpty() || !service.get().idempotent()) {
            return true;
        }
        List<StartRecord> ordered = new ArrayList<>(records);
        ordered.sort(Comparator.comparingLong(StartRecord::startedNanos));
        for (int later = 1; later < ordered.size(); later++) {
            for (int earlier = 0; earlier < later; earlier++) {
                if (!isAllowedRestart(ordered.get(earlier), ordered.get(later), service.get())) {
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * Returns whether an idempotent task may be started again: after its earlier attempt has failed, or after the
     * attempt lease has expired at the agent.
     */
    private static boolean isAllowedRestart(StartRecord earlier, StartRecord later, Workload.ServiceShare service) {
        boolean endedBefore = earlier.endedNanos() > 0 && earlier.endedNanos() <= later.startedNanos();
        if (endedBefore && !earlier.outcome().equals(DONE)) {
            return true;
        }
        long lease = service.attemptLease().toNanos();
        return lease > 0 && later.startedNanos() - earlier.startedNanos() >= lease;
    }

    private Optional<Workload.ServiceShare> service(String token) {
        return tokens.parse(token)
                .map(task -> requests.get(task.job()))
                .map(records -> records.getFirst().job().service());
    }

    private List<String> partialAnswers() {
        List<String> partial = new ArrayList<>();
        for (List<RequestRecord> submissionRequests : requests.values()) {
            for (RequestRecord request : submissionRequests) {
                if (request.reply() instanceof Reply.Complete complete
                        && !complete.answers().equals(expectedAnswers(request.job()))) {
                    partial.add(tokens.key(request.job().index()));
                    break;
                }
            }
        }
        return partial;
    }

    private List<String> expectedAnswers(ScheduledJob job) {
        List<String> expected = new ArrayList<>();
        for (int task = 0; task < job.taskMillis().size(); task++) {
            expected.add(tokens.token(job.index(), task));
        }
        return expected;
    }

    /**
     * Returns the submissions with a false refusal: either all requests were unreachable or refused as not run and yet
     * a task started, or a request that was sent after a start was refused as not run. A start during a refused request
     * is not attributed to that request if another request under the same key ended differently or without an answer.
     */
    private List<String> falseRefusals() {
        Map<Integer, Long> firstStarts = firstStarts();
        List<String> falselyRefused = new ArrayList<>();
        for (Map.Entry<Integer, List<RequestRecord>> entry : requests.entrySet()) {
            Long first = firstStarts.get(entry.getKey());
            if (first != null && isFalselyRefused(entry.getValue(), first)) {
                falselyRefused.add(tokens.key(entry.getKey()));
            }
        }
        return falselyRefused;
    }

    private static boolean isFalselyRefused(List<RequestRecord> submissionRequests, long firstStart) {
        return submissionRequests.stream().allMatch(OutcomeChecker::isNotRunOrUnreachable)
                || submissionRequests.stream()
                        .anyMatch(request -> isNotRun(request.reply()) && request.sentNanos() > firstStart);
    }

    /** Returns when the first task of each job started, in nanoseconds since the beginning of the run. */
    private Map<Integer, Long> firstStarts() {
        Map<Integer, Long> firstStarts = new HashMap<>();
        for (Map.Entry<String, List<StartRecord>> entry : starts.entrySet()) {
            int job = tokens.parse(entry.getKey()).orElseThrow().job();
            for (StartRecord start : entry.getValue()) {
                firstStarts.merge(job, start.startedNanos() - beginNanos, Math::min);
            }
        }
        return firstStarts;
    }

    private List<String> contradictedRefusals() {
        Map<Integer, Long> firstStarts = firstStarts();
        List<String> contradicted = new ArrayList<>();
        for (Map.Entry<Integer, List<RequestRecord>> entry : requests.entrySet()) {
            Long first = firstStarts.get(entry.getKey());
            if (first != null && entry.getValue().stream().anyMatch(request -> isRefusedAfterStart(request, first))) {
                contradicted.add(tokens.key(entry.getKey()));
            }
        }
        return contradicted;
    }

    private static boolean isRefusedAfterStart(RequestRecord request, long startNanos) {
        return isNotRun(request.reply()) && request.endedNanos() > startNanos;
    }

    private static boolean isNotRun(Reply reply) {
        return reply instanceof Reply.Problem problem && problem.certainty() == Certainty.NOT_RUN;
    }

    private static boolean isNotRunOrUnreachable(RequestRecord request) {
        return isNotRun(request.reply()) || request.reply() instanceof Reply.Unreachable;
    }

    private List<String> startsAfterLeaving(List<DrainingMinion> draining) {
        List<String> tokensAfterLeaving = new ArrayList<>();
        for (Map.Entry<String, List<StartRecord>> entry : new TreeMap<>(starts).entrySet()) {
            for (StartRecord start : entry.getValue()) {
                long startNanos = start.startedNanos() - beginNanos;
                if (draining.stream().anyMatch(minion -> minion.forbidsStart(start.minion(), startNanos))) {
                    tokensAfterLeaving.add(entry.getKey());
                }
            }
        }
        return tokensAfterLeaving;
    }

    /**
     * Returns the submissions with both a complete answer and a failure. Both outcomes are final, so all requests under
     * one key must return the same one.
     */
    private List<String> conflictingOutcomes() {
        List<String> conflicting = new ArrayList<>();
        for (Map.Entry<Integer, List<RequestRecord>> entry : requests.entrySet()) {
            boolean complete = entry.getValue().stream().anyMatch(request -> request.reply() instanceof Reply.Complete);
            boolean failed = entry.getValue().stream()
                    .anyMatch(request -> request.reply() instanceof Reply.Problem problem
                            && problem.certainty() == Certainty.FAILED);
            if (complete && failed) {
                conflicting.add(tokens.key(entry.getKey()));
            }
        }
        return conflicting;
    }

    private List<String> cutRequests(List<GracefulStop> stops) {
        List<String> cut = new ArrayList<>();
        for (List<RequestRecord> submissionRequests : requests.values()) {
            for (RequestRecord request : submissionRequests) {
                if (request.reply() instanceof Reply.Closed
                        && stops.stream().anyMatch(stop -> stop.contains(request))) {
                    cut.add(tokens.key(request.job().index()));
                }
            }
        }
        return cut;
    }

    private List<String> unrecordedAnswers() {
        List<String> unrecorded = new ArrayList<>();
        for (List<RequestRecord> submissionRequests : requests.values()) {
            for (RequestRecord request : submissionRequests) {
                if (request.reply() instanceof Reply.Complete complete) {
                    complete.answers().stream()
                            .filter(answer -> !starts.containsKey(answer))
                            .forEach(unrecorded::add);
                }
            }
        }
        return unrecorded.stream().distinct().toList();
    }
}
