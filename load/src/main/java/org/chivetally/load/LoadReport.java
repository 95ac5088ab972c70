package org.chivetally.load;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Pattern;

/**
 * Results of one run.
 *
 * @param plan plan of the run
 * @param run name of the run, the prefix of its idempotency keys and tokens
 * @param jobs number of submissions with a known outcome
 * @param outcomes number of submissions by outcome: complete, or certainty and error code
 * @param figures figures that could be measured
 * @param counters increase of the entries' counters during the run
 * @param faults number of injected faults by name
 * @param missedFaults faults of the plan that were not injected
 * @param starts number of starts recorded by minions
 * @param roles resource usage by role; empty without a folder of process IDs
 * @param unreadMinions minions whose start records couldn't be read at the end
 * @param unanswered keys of submissions without an answer or a definite failure shortly after their deadline
 * @param checkResult violated guarantees
 */
public record LoadReport(
        LoadPlan plan,
        String run,
        int jobs,
        Map<String, Integer> outcomes,
        Map<Figure, Double> figures,
        Counters counters,
        Map<String, Integer> faults,
        List<String> missedFaults,
        int starts,
        Map<String, RoleUsage> roles,
        List<String> unreadMinions,
        List<String> unanswered,
        CheckResult checkResult) {
    /** Process number at the end of a name, such as {@code -2} in {@code entry-2}. */
    private static final Pattern PROCESS_NUMBER = Pattern.compile("-\\d+\\b");

    /** Copies the collections. */
    public LoadReport {
        outcomes = new TreeMap<>(outcomes);
        figures = new TreeMap<>(figures);
        faults = new TreeMap<>(faults);
        missedFaults = List.copyOf(missedFaults);
        roles = new TreeMap<>(roles);
        unreadMinions = List.copyOf(unreadMinions);
        unanswered = List.copyOf(unanswered);
    }

    /** Returns the number of injected faults. */
    public int faultCount() {
        return faults.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Returns the number of injected faults by kind: the action, and the role of the process or stand-in. */
    public Map<String, Integer> faultKinds() {
        Map<String, Integer> kinds = new TreeMap<>();
        faults.forEach(
                (fault, count) -> kinds.merge(PROCESS_NUMBER.matcher(fault).replaceAll(""), count, Integer::sum));
        return kinds;
    }

    /** Returns whether a figure misses its goal. A figure with a goal that couldn't be measured counts as missed. */
    public boolean misses(Figure figure) {
        Double limit = plan.goals().get(figure);
        Double value = figures.get(figure);
        return limit != null && (value == null || !figure.meets(value, limit));
    }

    /**
     * Returns whether all goals are met, no guarantee is violated, all faults were injected, and all start records were
     * read.
     */
    public boolean passed() {
        return checkResult.passed()
                && unreadMinions.isEmpty()
                && missedFaults.isEmpty()
                && plan.goals().keySet().stream().noneMatch(this::misses);
    }
}
