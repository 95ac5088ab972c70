package org.chivetally.queue.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Simulates the situation for which speeds are learned: workers differ by a factor of 2.4 in speed, which their free
 * room does not show.
 */
class LearnedSpeedsSimulationTest {
    private static final double[] DIFFERENT_SPEEDS = {0.7, 0.7, 1.7};

    private static final long SEED = 11;

    /** Speeds of a fleet on which jobs are on time on any worker. */
    private static final double[] SIMILAR_SPEEDS = {0.8, 1, 1.25};

    /** Index of one worker of the fast kind. */
    private static final int FAST_WORKER = 2;

    private static final int KINDS = 3;
    private static final int FAST_WORKERS = 17;

    /** Deviation of a share that chance explains: three times the standard error for 2,500 jobs. */
    private static final double SHARE_TOLERANCE = 0.025;

    private static FleetSimulation simulateBursts(boolean learnsSpeeds, long seed) {
        FleetSimulation simulation = new FleetSimulation(learnsSpeeds, seed, DIFFERENT_SPEEDS);
        simulation.runTo(4);
        simulation.countsArrivals = true;
        for (int burst = 0; burst < 3; burst++) {
            simulation.burstFactor = 1.6;
            simulation.burstQueue = burst;
            simulation.runTo(8 + 6 * burst);
            simulation.burstFactor = 1;
            simulation.runTo(10 + 6 * burst);
        }
        simulation.countsArrivals = false;
        simulation.runTo(28);
        return simulation;
    }

    private static FleetSimulation simulateOverload(boolean learnsSpeeds) {
        FleetSimulation simulation = new FleetSimulation(learnsSpeeds, SEED, DIFFERENT_SPEEDS);
        simulation.demandFactor = 2;
        simulation.runTo(4);
        simulation.countsArrivals = true;
        simulation.runTo(10);
        simulation.countsArrivals = false;
        simulation.runTo(15);
        return simulation;
    }

    /**
     * Twice the base load uses four fifths of all workers, with peaks above the capacity. When short tasks left fast
     * workers to later tasks, and long tasks waited for them at the mere risk of being late, this cost a fifth of the
     * longest jobs.
     */
    @Test
    void noQueueIsWorseOffUnderOverload() {
        assertNoQueueIsWorse(simulateOverload(true), simulateOverload(false));
    }

    private static void assertNoQueueIsWorse(FleetSimulation withSpeeds, FleetSimulation withoutSpeeds) {
        for (int queue = 0; queue < withoutSpeeds.jobCounts.size(); queue++) {
            FleetSimulation.JobCounts countsWithSpeeds = withSpeeds.jobCounts.get(queue);
            FleetSimulation.JobCounts countsWithoutSpeeds = withoutSpeeds.jobCounts.get(queue);
            assertThat(countsWithSpeeds.inTimeShare(), is(greaterThanOrEqualTo(countsWithoutSpeeds.inTimeShare())));
            assertThat(
                    countsWithSpeeds.inTimeShareByTrueDuration(),
                    is(greaterThan(countsWithoutSpeeds.inTimeShareByTrueDuration() - SHARE_TOLERANCE)));
        }
    }

    /**
     * Demand varies by 55% in each failure domain, and each queue has a burst of 1.6 times its demand. Placed by free
     * room alone, a third of the longest jobs are late, as one of their four tasks is on a slow worker.
     */
    @ParameterizedTest
    @ValueSource(longs = {SEED, 31})
    void moreOfTheLongestJobsAreInTimeAndNoQueueIsWorseOff(long seed) {
        FleetSimulation withoutSpeeds = simulateBursts(false, seed);
        FleetSimulation withSpeeds = simulateBursts(true, seed);
        assertThat(
                withSpeeds.jobCounts.get(2).inTimeShare(),
                is(greaterThan(withoutSpeeds.jobCounts.get(2).inTimeShare() + 0.1)));
        assertNoQueueIsWorse(withSpeeds, withoutSpeeds);
        assertThat((double) withSpeeds.refusedStarts / withSpeeds.placements.size(), is(lessThan(0.04)));
    }

    /** Where all workers are fast enough, each task is placed as it would be without learned speeds. */
    @Test
    void placesByFreeRoomWhereSpeedsAreSimilar() {
        FleetSimulation withoutSpeeds = new FleetSimulation(false, SEED, SIMILAR_SPEEDS);
        withoutSpeeds.runTo(4);
        FleetSimulation withSpeeds = new FleetSimulation(true, SEED, SIMILAR_SPEEDS);
        withSpeeds.runTo(4);
        assertThat(withSpeeds.placements.equals(withoutSpeeds.placements), is(true));
    }

    private static double meanStartsOfOtherFastWorkers(
            FleetSimulation simulation, int worker, double fromSeconds, double toSeconds) {
        int starts = 0;
        for (int other = FAST_WORKER; other < KINDS * FAST_WORKERS; other += KINDS) {
            starts += other == worker ? 0 : simulation.countStarts(other, fromSeconds, toSeconds);
        }
        return starts / (FAST_WORKERS - 1.0);
    }

    /**
     * A fast worker is slowed to a fifth of its speed. Its tasks make their jobs late, so it must soon be avoided, and
     * must get its share again after it has recovered.
     */
    @Test
    void avoidsAWorkerWhileItIsSlow() {
        FleetSimulation simulation = new FleetSimulation(true, SEED, DIFFERENT_SPEEDS);
        simulation.runTo(6);
        simulation.agents.get(FAST_WORKER).speed /= 5;
        simulation.runTo(12);
        simulation.agents.get(FAST_WORKER).speed *= 5;
        simulation.runTo(22);
        assertThat(
                simulation.countStarts(FAST_WORKER, 7, 12)
                        / meanStartsOfOtherFastWorkers(simulation, FAST_WORKER, 7, 12),
                is(lessThan(0.25)));
        assertThat(
                simulation.countStarts(FAST_WORKER, 15, 22)
                        / meanStartsOfOtherFastWorkers(simulation, FAST_WORKER, 15, 22),
                is(greaterThan(0.7)));
    }

    /**
     * An agent of an earlier release reports no speed. Its worker must count as an average worker of its kind, and not
     * as the best or worst.
     */
    @Test
    void treatsAWorkerWithoutReportedSpeedAsOneOfItsKind() {
        FleetSimulation simulation = new FleetSimulation(true, SEED, DIFFERENT_SPEEDS);
        simulation.agents.get(FAST_WORKER).reportsNoSpeed = true;
        simulation.runTo(8);
        assertThat(
                simulation.countStarts(FAST_WORKER, 3, 8) / meanStartsOfOtherFastWorkers(simulation, FAST_WORKER, 3, 8),
                is(both(greaterThan(0.7)).and(lessThan(1.4))));
    }

    /** A new entry places tasks by what agents have learned from the runs of other entries, not only by its own. */
    @Test
    void newEntryLearnsSpeedsFromTheFirstReports() {
        FleetSimulation simulation = new FleetSimulation(true, SEED, DIFFERENT_SPEEDS);
        simulation.runTo(4);
        FleetSimulation.Entry added = simulation.addEntry();
        simulation.runTo(4.3);
        assertThat(added.speedSpread(), is(greaterThan(2.0)));
    }
}
