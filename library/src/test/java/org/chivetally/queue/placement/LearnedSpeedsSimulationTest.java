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
    private static final double[] UNEVEN = {0.7, 0.7, 1.7};

    private static final long SEED = 11;

    /** Speeds of a fleet whose jobs are in time on any worker. */
    private static final double[] SIMILAR = {0.8, 1, 1.25};

    /** A worker of the fast kind, and all others of it. */
    private static final int FAST = 2;

    private static final int KINDS = 3;
    private static final int FAST_WORKERS = 17;

    /** Deviation of a share that chance explains: three times the standard error of 2,500 jobs. */
    private static final double CHANCE = 0.025;

    private static FleetSimulation replay(boolean learnsSpeeds, long seed) {
        FleetSimulation replay = new FleetSimulation(learnsSpeeds, seed, UNEVEN);
        replay.runTo(4);
        replay.counts = true;
        for (int burst = 0; burst < 3; burst++) {
            replay.burst = 1.6;
            replay.burstQueue = burst;
            replay.runTo(8 + 6 * burst);
            replay.burst = 1;
            replay.runTo(10 + 6 * burst);
        }
        replay.counts = false;
        replay.runTo(28);
        return replay;
    }

    private static FleetSimulation overload(boolean learnsSpeeds) {
        FleetSimulation replay = new FleetSimulation(learnsSpeeds, SEED, UNEVEN);
        replay.demand = 2;
        replay.runTo(4);
        replay.counts = true;
        replay.runTo(10);
        replay.counts = false;
        replay.runTo(15);
        return replay;
    }

    /**
     * Twice the demand takes four fifths of all workers, with peaks above what they can do. While short work left fast
     * workers to what came later, and long work waited for them at the mere risk of being late, a fifth of the longest
     * jobs was lost for it.
     */
    @Test
    void noQueueIsWorseOffUnderOverload() {
        assertBetter(overload(true), overload(false));
    }

    private static void assertBetter(FleetSimulation on, FleetSimulation off) {
        for (int queue = 0; queue < off.tallies.size(); queue++) {
            FleetSimulation.JobCounts with = on.tallies.get(queue);
            FleetSimulation.JobCounts without = off.tallies.get(queue);
            assertThat(with.share(), is(greaterThanOrEqualTo(without.share())));
            assertThat(with.shareByWork(), is(greaterThan(without.shareByWork() - CHANCE)));
        }
    }

    /**
     * Demand swings by 55% in each failure domain and each queue has a burst of 1.6 times. By free room alone a third
     * of the longest jobs is late, as one of their four tasks is on a slow worker.
     */
    @ParameterizedTest
    @ValueSource(longs = {SEED, 31})
    void moreOfTheLongestJobsAreInTimeAndNoQueueIsWorseOff(long seed) {
        FleetSimulation off = replay(false, seed);
        FleetSimulation on = replay(true, seed);
        assertThat(on.tallies.get(2).share(), is(greaterThan(off.tallies.get(2).share() + 0.1)));
        assertBetter(on, off);
        assertThat((double) on.refused / on.placements.size(), is(lessThan(0.04)));
    }

    /** Nothing changes where all workers are fast enough: each task goes where it would have gone. */
    @Test
    void placesAsBeforeWhereSpeedsAreSimilar() {
        FleetSimulation off = new FleetSimulation(false, SEED, SIMILAR);
        off.runTo(4);
        FleetSimulation on = new FleetSimulation(true, SEED, SIMILAR);
        on.runTo(4);
        assertThat(on.placements.equals(off.placements), is(true));
    }

    private static double meanOfOthers(FleetSimulation replay, int worker, double from, double to) {
        int starts = 0;
        for (int other = FAST; other < KINDS * FAST_WORKERS; other += KINDS) {
            starts += other == worker ? 0 : replay.starts(other, from, to);
        }
        return starts / (FAST_WORKERS - 1.0);
    }

    /**
     * A fast worker is slowed to a fifth. Its tasks make their jobs late, so it has to be left soon, and has to get its
     * part again when it has recovered.
     */
    @Test
    void leavesAWorkerThatTurnsSlowAndComesBackToIt() {
        FleetSimulation replay = new FleetSimulation(true, SEED, UNEVEN);
        replay.runTo(6);
        replay.agents.get(FAST).speed /= 5;
        replay.runTo(12);
        replay.agents.get(FAST).speed *= 5;
        replay.runTo(22);
        assertThat(replay.starts(FAST, 7, 12) / meanOfOthers(replay, FAST, 7, 12), is(lessThan(0.25)));
        assertThat(replay.starts(FAST, 15, 22) / meanOfOthers(replay, FAST, 15, 22), is(greaterThan(0.7)));
    }

    /**
     * An agent of an earlier release reports no speed. Its worker is taken for one of its kind, not for the best or
     * worst.
     */
    @Test
    void givesAWorkerThatTellsNothingItsPart() {
        FleetSimulation replay = new FleetSimulation(true, SEED, UNEVEN);
        replay.agents.get(FAST).silent = true;
        replay.runTo(8);
        assertThat(
                replay.starts(FAST, 3, 8) / meanOfOthers(replay, FAST, 3, 8),
                is(both(greaterThan(0.7)).and(lessThan(1.4))));
    }

    /** An entry that has just started places by what agents have learned with others, not by what it learns itself. */
    @Test
    void anEntryThatHasJustStartedKnowsSpeedsFromTheFirstReports() {
        FleetSimulation replay = new FleetSimulation(true, SEED, UNEVEN);
        replay.runTo(4);
        FleetSimulation.Entry fresh = replay.addEntry();
        replay.runTo(4.3);
        assertThat(fresh.lookAtSpeeds(), is(greaterThan(2.0)));
    }
}
