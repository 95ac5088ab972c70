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
public final class Judge {
    private static final String FAILED = "failed";
    private static final String DONE = "done";

    private final Tokens tokens;
    private final long beginNanos;
    private final Map<Integer, List<CallerRecord>> requests = new TreeMap<>();
    private final Map<String, List<StartRecord>> starts = new HashMap<>();

    /**
     * Sorts the records of one run; those of other runs are left out.
     *
     * @param beginNanos reading of the machine's monotonic clock from which the callers' times count
     */
    public Judge(Tokens tokens, List<CallerRecord> callers, List<StartRecord> records, long beginNanos) {
        this.tokens = tokens;
        this.beginNanos = beginNanos;
        for (CallerRecord caller : callers) {
            requests.computeIfAbsent(caller.job().index(), index -> new ArrayList<>())
                    .add(caller);
        }
        for (StartRecord record : records) {
            if (tokens.parse(record.token()).isPresent()) {
                starts.computeIfAbsent(record.token(), token -> new ArrayList<>())
                        .add(record);
            }
        }
    }

    /** Finds every broken promise, given the times at which entries were stopping and minions leaving. */
    public Verdict judge(List<GracefulStop> stops, List<LeavingMinion> leaving) {
        List<String> falseRefusals = falseRefusals();
        List<String> contradicted = contradictedRefusals();
        contradicted.removeAll(falseRefusals);
        return new Verdict(
                duplicateStarts(),
                partialAnswers(),
                falseRefusals,
                cutRequests(stops),
                startsAfterLeaving(leaving),
                conflictingOutcomes(),
                contradicted,
                unrecorded());
    }

    /** Returns the number of starts recorded for this run. */
    public int startCount() {
        return starts.values().stream().mapToInt(List::size).sum();
    }

    /** Returns the number of tasks of this run with a recorded start. */
    public int startedTasks() {
        return starts.size();
    }

    private List<String> duplicateStarts() {
        List<String> duplicates = new ArrayList<>();
        for (Map.Entry<String, List<StartRecord>> entry : new TreeMap<>(starts).entrySet()) {
            if (entry.getValue().size() > 1 && startedAgain(entry.getKey(), entry.getValue())) {
                duplicates.add(entry.getKey());
            }
        }
        return duplicates;
    }

    private boolean startedAgain(String token, List<StartRecord> records) {
        Optional<Workload.ServiceShare> service = service(token);
        if (service.isEmpty() || !service.get().idempotent()) {
            return true;
        }
        List<StartRecord> ordered = new ArrayList<>(records);
        ordered.sort(Comparator.comparingLong(StartRecord::startedNanos));
        for (int later = 1; later < ordered.size(); later++) {
            for (int earlier = 0; earlier < later; earlier++) {
                if (!mayFollow(ordered.get(earlier), ordered.get(later), service.get())) {
                    return true;
                }
            }
        }
        return false;
    }

    /** An idempotent task may start again once its earlier attempt has failed, or its lease is over at its agent. */
    private static boolean mayFollow(StartRecord earlier, StartRecord later, Workload.ServiceShare service) {
        boolean overBefore = earlier.endedNanos() > 0 && earlier.endedNanos() <= later.startedNanos();
        if (overBefore && !earlier.outcome().equals(DONE)) {
            return true;
        }
        long lease = service.attemptLease().toNanos();
        return lease > 0 && later.startedNanos() - earlier.startedNanos() >= lease;
    }

    private Optional<Workload.ServiceShare> service(String token) {
        return tokens.parse(token)
                .map(name -> requests.get(name.job()))
                .map(records -> records.getFirst().job().service());
    }

    private List<String> partialAnswers() {
        List<String> partial = new ArrayList<>();
        for (List<CallerRecord> records : requests.values()) {
            for (CallerRecord record : records) {
                if (record.reply() instanceof Reply.Complete complete
                        && !complete.answers().equals(expectedAnswers(record.job()))) {
                    partial.add(tokens.key(record.job().index()));
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
        List<String> refused = new ArrayList<>();
        for (Map.Entry<Integer, List<CallerRecord>> entry : requests.entrySet()) {
            Long first = firstStarts.get(entry.getKey());
            if (first != null && isFalselyRefused(entry.getValue(), first)) {
                refused.add(tokens.key(entry.getKey()));
            }
        }
        return refused;
    }

    private static boolean isFalselyRefused(List<CallerRecord> records, long firstStart) {
        return records.stream().allMatch(Judge::toldNotRun)
                || records.stream().anyMatch(record -> isNotRun(record.reply()) && record.sentNanos() > firstStart);
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
        for (Map.Entry<Integer, List<CallerRecord>> entry : requests.entrySet()) {
            Long first = firstStarts.get(entry.getKey());
            if (first != null && entry.getValue().stream().anyMatch(record -> refusedAfter(record, first))) {
                contradicted.add(tokens.key(entry.getKey()));
            }
        }
        return contradicted;
    }

    private static boolean refusedAfter(CallerRecord record, long startNanos) {
        return isNotRun(record.reply()) && record.endedNanos() > startNanos;
    }

    private static boolean isNotRun(Reply reply) {
        return reply instanceof Reply.Problem problem && problem.certainty() == Certainty.NOT_RUN;
    }

    private static boolean toldNotRun(CallerRecord record) {
        return isNotRun(record.reply()) || record.reply() instanceof Reply.Unreachable;
    }

    private List<String> startsAfterLeaving(List<LeavingMinion> leaving) {
        List<String> late = new ArrayList<>();
        for (Map.Entry<String, List<StartRecord>> entry : new TreeMap<>(starts).entrySet()) {
            for (StartRecord start : entry.getValue()) {
                long nanos = start.startedNanos() - beginNanos;
                if (leaving.stream().anyMatch(minion -> minion.forbids(start.minion(), nanos))) {
                    late.add(entry.getKey());
                }
            }
        }
        return late;
    }

    /** Both are final, and all callers of one key get the same outcome. */
    private List<String> conflictingOutcomes() {
        List<String> conflicting = new ArrayList<>();
        for (Map.Entry<Integer, List<CallerRecord>> entry : requests.entrySet()) {
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
        for (List<CallerRecord> records : requests.values()) {
            for (CallerRecord record : records) {
                if (record.reply() instanceof Reply.Closed && stops.stream().anyMatch(stop -> stop.covers(record))) {
                    cut.add(tokens.key(record.job().index()));
                }
            }
        }
        return cut;
    }

    private List<String> unrecorded() {
        List<String> unrecorded = new ArrayList<>();
        for (List<CallerRecord> records : requests.values()) {
            for (CallerRecord record : records) {
                if (record.reply() instanceof Reply.Complete complete) {
                    complete.answers().stream()
                            .filter(answer -> !starts.containsKey(answer))
                            .forEach(unrecorded::add);
                }
            }
        }
        return unrecorded.stream().distinct().toList();
    }
}
