package org.chivetally.coordination;

import java.util.LinkedHashMap;
import java.util.Map;

/** What tasks of one service were seen to take, team by team, against the mean of the service. */
final class TeamCosts {
    private static final double WEIGHT = 0.05;
    private static final int MAXIMUM_TEAMS = 10_000;

    private final Map<String, Double> meanMicros = new LinkedHashMap<>();
    private double serviceMean;

    void record(String team, long micros) {
        serviceMean = serviceMean == 0 ? micros : serviceMean + WEIGHT * (micros - serviceMean);
        meanMicros.merge(team, (double) micros, (before, now) -> before + WEIGHT * (now - before));
        if (meanMicros.size() > MAXIMUM_TEAMS) {
            meanMicros.remove(meanMicros.keySet().iterator().next());
        }
    }

    int costOf(String team) {
        Double mean = meanMicros.get(team);
        if (mean == null || serviceMean == 0) {
            return WaitingQueue.MEAN_COST;
        }
        return Math.clamp(Math.round(WaitingQueue.MEAN_COST * mean / serviceMean), 1, WaitingQueue.MAXIMUM_COST);
    }
}
