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
 * Compares what callers were told with what minions recorded.
 *
 * <p>Clocks of several processes are compared only for second starts of idempotent tasks and for contradicted refusals;
 * processes of one machine share the monotonic clock, so this holds there.
 */
public final class OutcomeChecker {
    private static final String FAILED = "failed";
    private static final String DONE = "done";

    private final Tokens tokens;
    private final long beginNanos;
    private final Map<Integer, List<RequestRecord>> requests = new TreeMap<>();
    private final Map<String, List<StartRecord>> starts = new HashMap<>();

    /**
     * Sorts the records of one run; those of other runs are left out.
     *
     * @param beginNanos reading of the machine's monotonic clock from which the callers' times count
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

    /** Finds every broken promise, given the times at which entries were stopping and minions leaving. */
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

    /** Returns the number of tasks of this run with a recorded start. */
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

    /** An idempotent task may start again once its earlier attempt has failed, or its lease is over at its agent. */
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
     * A refusal is false when every request of the submission was told not-run and yet a task started, and when one
     * that was sent after a start was told so. Where a request of the same key ended otherwise, or without an answer,
     * while the refused one was under way, its start may be the one recorded.
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

    /** Returns when the first task of each job started, from the beginning of the run. */
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
            if (first != null && entry.getValue().stream().anyMatch(record -> isRefusedAfterStart(record, first))) {
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

    /** Both are final, and all callers of one key get the same outcome. */
    private List<String> conflictingOutcomes() {
        List<String> conflicting = new ArrayList<>();
        for (Map.Entry<Integer, List<RequestRecord>> entry : requests.entrySet()) {
            boolean complete = entry.getValue().stream().anyMatch(record -> record.reply() instanceof Reply.Complete);
            boolean failed = entry.getValue().stream()
                    .anyMatch(record ->
                            record.reply() instanceof Reply.Problem problem && problem.certainty() == Certainty.FAILED);
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
