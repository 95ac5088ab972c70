package org.chivetally.queue.speed;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * The stretch of each kind of worker, and of single workers compared with their kind. The stretch is the ratio of
 * actual to estimated durations of runs. With few runs, the stretch of a worker is shrunk towards that of its kind, and
 * the stretch of a kind towards the mean of all kinds.
 *
 * <p>Estimates are off by 40% (standard deviation), so the mean of ten runs is off by 13%. Without shrinkage, the
 * fastest of seventeen equal workers would seem a quarter faster than the slowest.
 *
 * <p>A kind is retained for minutes after its last runs, because workers of a slow kind report nothing new while they
 * get no work. If a kind were forgotten as fast as a worker's runs are, it would count as average after some seconds,
 * get a share of all work, and be found slow again, over and over.
 */
public final class KindStretches {
    /**
     * Weight of the kind's stretch, in runs, when a worker's own runs are shrunk towards it. The error of a worker's
     * stretch is then at most 5%, while eight runs that last five times as long raise it by half.
     */
    static final double WORKER_PRIOR_RUNS = 16;

    /** Weight of the mean of all kinds, in runs, when a kind's runs are shrunk towards it. */
    static final double KIND_PRIOR_RUNS = 2;

    /**
     * Factor by which a worker must differ from its kind to be rated by its own stretch. It is five times the error, so
     * that none of seventy equal workers differs by chance.
     */
    static final double DISTINCT_FACTOR = 1.3;

    private static final double DISTINCT_LOGARITHM = Math.log(DISTINCT_FACTOR);

    /** Weight of a worker's mean whose runs all ended long ago, in runs: it still says something about its kind. */
    static final double EXPIRED_MEAN_WEIGHT = 1;

    /** Greatest weight of a retained kind, in runs, so that a change of the kind is learned. */
    static final double MAXIMUM_RETAINED_RUNS = 100;

    /** Time in which the weight of a retained kind falls to 1/e. */
    static final Duration KIND_TIME_CONSTANT = Duration.ofMinutes(10);

    /** Weight in runs below which a kind is removed, as there may be no workers of that kind any more. */
    private static final double MINIMUM_RETAINED_RUNS = 0.1;

    private final Map<String, Kind> kinds = new HashMap<>();
    private double overallLogarithm;
    private double slowestLogarithm;
    private long decayedAtNanos;

    /**
     * Starts a round of reports of all workers.
     *
     * @param nowNanos the time, by the monotonic clock
     */
    public void begin(long nowNanos) {
        double decay = Math.exp(-Math.max(0, (double) (nowNanos - decayedAtNanos)) / KIND_TIME_CONSTANT.toNanos());
        decayedAtNanos = nowNanos;
        for (Kind kind : kinds.values()) {
            kind.retainedRuns *= decay;
            kind.reportedRuns = 0;
            kind.reportedLogarithmSum = 0;
        }
    }

    /** Adds the latest report of one worker. */
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

    /** Ends the round of reports; from now on the stretches include them. */
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

    /** Returns the stretch of a kind; the mean of all kinds for an unknown kind, and 1 while nothing is known. */
    public double stretch(String kind) {
        return Math.exp(logarithm(kind));
    }

    /**
     * Returns the stretch of a worker: that of its kind, unless its own differs by more than {@link #DISTINCT_FACTOR}.
     * A worker that is slower than its kind is rated slower than the slowest kind, because its mean lags behind its
     * current speed. Otherwise it would rank directly behind the workers of its kind and get all the work that these
     * leave.
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

    /** The retained stretch of a kind and the reports of its workers in this round. */
    private static final class Kind {
        private double reportedRuns;
        private double reportedLogarithmSum;
        private double retainedRuns;
        private double retainedLogarithm;

        /** Merges the reports into the retained mean, or replaces it if the reports weigh at least as much. */
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
