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

/** Replays the load that learned speeds answer: workers that differ by 2.4 and look alike by their room. */
class LearnedSpeedsSimulationTest {
    private static final double[] DIFFERENT_SPEEDS = {0.7, 0.7, 1.7};

    private static final long SEED = 11;

    /** Speeds of a fleet whose jobs are in time on any worker. */
    private static final double[] SIMILAR_SPEEDS = {0.8, 1, 1.25};

    /** A worker of the fast kind, and all others of it. */
    private static final int FAST_WORKER = 2;

    private static final int KINDS = 3;
    private static final int FAST_WORKERS = 17;

    /** Deviation of a share that chance explains: three times the standard error of 2,500 jobs. */
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
     * Twice the demand takes four fifths of all workers, with peaks above what they can do. While short work left fast
     * workers to what came later, and long work waited for them at the mere risk of being late, a fifth of the longest
     * jobs was lost for it.
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
     * Demand swings by 55% in each failure domain and each queue has a burst of 1.6 times. By free room alone a third
     * of the longest jobs is late, as one of their four tasks is on a slow worker.
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

    /** Nothing changes where all workers are fast enough: each task goes where it would have gone. */
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
     * A fast worker is slowed to a fifth. Its tasks make their jobs late, so it has to be left soon, and has to get its
     * part again when it has recovered.
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
     * An agent of an earlier release reports no speed. Its worker is taken for one of its kind, not for the best or
     * worst.
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

    /** An entry that has just started places by what agents have learned with others, not by what it learns itself. */
    @Test
    void newEntryLearnsSpeedsFromTheFirstReports() {
        FleetSimulation simulation = new FleetSimulation(true, SEED, DIFFERENT_SPEEDS);
        simulation.runTo(4);
        FleetSimulation.Entry added = simulation.addEntry();
        simulation.runTo(4.3);
        assertThat(added.speedSpread(), is(greaterThan(2.0)));
    }
}
