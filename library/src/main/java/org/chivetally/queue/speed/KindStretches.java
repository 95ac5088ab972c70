package org.chivetally.queue.speed;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * How long runs last on workers of each kind, compared with their estimates, and on one worker among them. What a
 * worker's few runs tell is drawn towards its kind, and what a kind's few runs tell towards all kinds.
 *
 * <p>The load it answers: estimates are off by 40% (standard deviation), so the mean of ten runs is off by 13%, and the
 * fastest of seventeen equal workers would look a quarter faster than the slowest.
 *
 * <p>A kind is remembered for minutes after its last runs. While the slow kind gets no work its workers tell nothing;
 * forgotten as fast as a worker is, it would count as average after some seconds, get a share of all work, and be found
 * slow again, over and over.
 */
public final class KindStretches {
    /**
     * Runs of its kind that a worker's own runs are weighed against. The error of a worker's stretch is then at most
     * 5%, while eight runs that last five times as long raise it by half.
     */
    static final double WORKER_PRIOR_RUNS = 16;

    /** Runs of all kinds that a kind's runs are weighed against. */
    static final double KIND_PRIOR_RUNS = 2;

    /**
     * Factor by which a worker differs from its kind before that counts. It is five times the error, so that none of
     * seventy equal workers stands out by chance.
     */
    static final double DISTINCT_FACTOR = 1.3;

    private static final double DISTINCT_LOGARITHM = Math.log(DISTINCT_FACTOR);

    /** Weight of a worker's mean whose runs all ended long ago, in runs: it still tells something of its kind. */
    static final double EXPIRED_MEAN_WEIGHT = 1;

    /** Greatest weight at which a kind is remembered, in runs, so that a kind that has changed is learned again. */
    static final double MAXIMUM_RETAINED_RUNS = 100;

    /** Time in which the weight of a remembered kind falls to about a third. */
    static final Duration KIND_TIME_CONSTANT = Duration.ofMinutes(10);

    /** Weight under which a kind is forgotten, as workers of a kind may be gone for good. */
    private static final double MINIMUM_RETAINED_RUNS = 0.1;

    private final Map<String, Kind> kinds = new HashMap<>();
    private double overallLogarithm;
    private double slowestLogarithm;
    private long decayedAtNanos;

    /** Begins to take reports of all workers. */
    public void begin(long nowNanos) {
        double decay = Math.exp(-Math.max(0, (double) (nowNanos - decayedAtNanos)) / KIND_TIME_CONSTANT.toNanos());
        decayedAtNanos = nowNanos;
        for (Kind kind : kinds.values()) {
            kind.retainedRuns *= decay;
            kind.reportedRuns = 0;
            kind.reportedLogarithmSum = 0;
        }
    }

    /** Takes the newest report of one worker. */
    public void add(String kind, LearnedStretch worker) {
        if (!worker.isKnown()) {
            return;
        }
        Kind known = kinds.get(kind);
        if (known == null) {
            known = new Kind();
            kinds.put(kind, known);
        }
        double runs = Math.max(EXPIRED_MEAN_WEIGHT, worker.runs());
        known.reportedRuns += runs;
        known.reportedLogarithmSum += runs * worker.logarithm();
    }

    /** Ends the reports; the stretches are those of them from now on. */
    public void finish() {
        double runs = 0;
        double logarithmSum = 0;
        Iterator<Kind> iterator = kinds.values().iterator();
        while (iterator.hasNext()) {
            Kind kind = iterator.next();
            kind.mergeReports();
            if (kind.retainedRuns < MINIMUM_RETAINED_RUNS) {
                iterator.remove();
                continue;
            }
            runs += kind.retainedRuns;
            logarithmSum += kind.retainedRuns * kind.retainedLogarithm;
        }
        overallLogarithm = runs == 0 ? 0 : logarithmSum / runs;
        slowestLogarithm = overallLogarithm;
        for (Kind kind : kinds.values()) {
            slowestLogarithm = Math.max(
                    slowestLogarithm,
                    shrink(kind.retainedLogarithm, kind.retainedRuns, overallLogarithm, KIND_PRIOR_RUNS));
        }
    }

    /** Returns the stretch of a kind; that of all kinds for one that is unknown, and 1 while nothing is known. */
    public double stretch(String kind) {
        return Math.exp(logarithm(kind));
    }

    /**
     * Returns the stretch of a worker of a kind: that of its kind, unless its own is distinct. One that has fallen
     * behind its kind counts as slower than the slowest kind: what its runs tell lags behind what it has become, and it
     * would be taken for the best after those of its kind, and get all that these leave.
     */
    public double stretch(String kind, LearnedStretch worker) {
        double expected = logarithm(kind);
        if (!worker.isKnown()) {
            return Math.exp(expected);
        }
        double own = shrink(worker.logarithm(), worker.runs(), expected, WORKER_PRIOR_RUNS);
        if (own - expected > DISTINCT_LOGARITHM) {
            return Math.exp(Math.max(own, slowestLogarithm + DISTINCT_LOGARITHM));
        }
        return Math.exp(expected - own > DISTINCT_LOGARITHM ? own : expected);
    }

    private double logarithm(String kind) {
        Kind known = kinds.get(kind);
        return known == null
                ? overallLogarithm
                : shrink(known.retainedLogarithm, known.retainedRuns, overallLogarithm, KIND_PRIOR_RUNS);
    }

    private static double shrink(double own, double runs, double prior, double priorRuns) {
        return (own * runs + prior * priorRuns) / (runs + priorRuns);
    }

    /** What is known of a kind: what its workers have told, and what is remembered. */
    private static final class Kind {
        private double reportedRuns;
        private double reportedLogarithmSum;
        private double retainedRuns;
        private double retainedLogarithm;

        /** Replaces what is remembered as far as what was told outweighs it. */
        private void mergeReports() {
            if (reportedRuns == 0) {
                return;
            }
            double mean = reportedLogarithmSum / reportedRuns;
            if (reportedRuns >= retainedRuns) {
                retainedLogarithm = mean;
                retainedRuns = Math.min(MAXIMUM_RETAINED_RUNS, reportedRuns);
            } else {
                retainedLogarithm += (mean - retainedLogarithm) * reportedRuns / retainedRuns;
            }
        }
    }
}
