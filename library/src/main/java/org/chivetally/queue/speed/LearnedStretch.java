package org.chivetally.queue.speed;

/**
 * Report of an agent about the speed of its worker.
 *
 * @param permille ratio of actual to estimated durations of its runs, as a geometric mean, in thousandths; 0 while
 *     unknown
 * @param runs weight of that mean, in runs; also 0 for a mean whose runs all ended long ago
 */
public record LearnedStretch(int permille, int runs) {
    /** No run has ended yet. */
    public static final LearnedStretch UNKNOWN = new LearnedStretch(0, 0);

    /** Least mean that is accepted. Values outside the limits come from a fault or a damaged report. */
    private static final int MINIMUM_PERMILLE = 20;

    private static final int MAXIMUM_PERMILLE = 50_000;

    private static final int MAXIMUM_RUNS = 1_000_000;

    /** Limits values from other processes, so that one damaged report can't outweigh all others. */
    public LearnedStretch {
        permille = permille <= 0 ? 0 : Math.clamp(permille, MINIMUM_PERMILLE, MAXIMUM_PERMILLE);
        runs = permille == 0 ? 0 : Math.clamp(runs, 0, MAXIMUM_RUNS);
    }

    /** Tells whether any run contributed to the mean. */
    public boolean isKnown() {
        return permille > 0;
    }

    double logarithm() {
        return Math.log(permille / 1000.0);
    }
}
