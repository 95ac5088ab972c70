package org.chivetally.queue.speed;

/**
 * What an agent tells about its worker's speed.
 *
 * @param permille duration of its runs over their estimates, geometric mean, in thousandths; 0 while unknown
 * @param runs weight of that mean, in runs; 0 also for a mean whose runs all ended long ago
 */
public record LearnedStretch(int permille, int runs) {
    /** Nothing known. */
    public static final LearnedStretch UNKNOWN = new LearnedStretch(0, 0);

    /** Least and greatest mean that is believed; what lies outside comes from a mistake or a damaged report. */
    private static final int MINIMUM_PERMILLE = 20;

    private static final int MAXIMUM_PERMILLE = 50_000;

    private static final int MAXIMUM_RUNS = 1_000_000;

    /** Limits what another process may have told, so that one damaged report can't outweigh all others. */
    public LearnedStretch {
        permille = permille <= 0 ? 0 : Math.clamp(permille, MINIMUM_PERMILLE, MAXIMUM_PERMILLE);
        runs = permille == 0 ? 0 : Math.clamp(runs, 0, MAXIMUM_RUNS);
    }

    /** Tells whether any run has told something. */
    public boolean isKnown() {
        return permille > 0;
    }

    double logarithm() {
        return Math.log(permille / 1000.0);
    }
}
