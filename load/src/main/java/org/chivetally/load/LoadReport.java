package org.chivetally.load;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Figures of one run.
 *
 * @param plan name of the plan
 * @param run name of the run, with which its keys and tokens begin
 * @param jobs submissions whose outcome is known
 * @param outcomes submissions by outcome: complete, or certainty and code
 * @param ratio response ratios of complete jobs after the warm-up
 * @param goodput slot time of complete jobs after the warm-up as a share of all slot time
 * @param starts starts recorded by minions
 * @param unreadMinions minions whose record couldn't be read
 * @param verdict broken promises
 */
public record LoadReport(
        String plan,
        String run,
        int jobs,
        Map<String, Integer> outcomes,
        ResponseRatio ratio,
        double goodput,
        int starts,
        List<String> unreadMinions,
        Verdict verdict) {
    /** Copies the collections. */
    public LoadReport {
        outcomes = new TreeMap<>(outcomes);
        unreadMinions = List.copyOf(unreadMinions);
    }
}
