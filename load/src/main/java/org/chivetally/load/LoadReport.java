package org.chivetally.load;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Pattern;

/**
 * What came of one run.
 *
 * @param plan the plan
 * @param run name of the run, with which its keys and tokens begin
 * @param jobs submissions with a known outcome
 * @param outcomes submissions by outcome: complete, or certainty and code
 * @param figures figures that could be measured
 * @param counters what the entries' counters grew by
 * @param faults faults injected, by target and kind
 * @param missedFaults faults of the plan that were not injected
 * @param starts starts recorded by minions
 * @param roles processor time and memory by role, where a folder with process ids was given
 * @param unreadMinions minions whose record couldn't be read at the end
 * @param unanswered keys of submissions that got neither an answer nor a clear failure soon after their deadline
 * @param checkResult broken promises
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
    /** The number at the end of a name, such as that of {@code entry-2}. */
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

    /** Returns the number of faults injected. */
    public int faultCount() {
        return faults.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Returns the number of faults injected by kind: what was done, to a process or stand-in of which role. */
    public Map<String, Integer> faultKinds() {
        Map<String, Integer> kinds = new TreeMap<>();
        faults.forEach(
                (fault, count) -> kinds.merge(PROCESS_NUMBER.matcher(fault).replaceAll(""), count, Integer::sum));
        return kinds;
    }

    /** Tells whether a goal is set for a figure and missed; a figure that couldn't be measured misses its goal. */
    public boolean misses(Figure figure) {
        Double limit = plan.goals().get(figure);
        Double value = figures.get(figure);
        return limit != null && (value == null || !figure.meets(value, limit));
    }

    /** Tells whether all goals are met, no promise is broken, all faults came, and all minions' records were read. */
    public boolean passed() {
        return checkResult.passed()
                && unreadMinions.isEmpty()
                && missedFaults.isEmpty()
                && plan.goals().keySet().stream().noneMatch(this::misses);
    }
}
